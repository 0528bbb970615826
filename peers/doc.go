// Package peers connects the entries of one installation with JSON-RPC 2.0 calls
// over TCP, and keeps their membership by heartbeats.
//
// Membership tells which entry should act, but never which one may: entries with
// different views of it must not be able to break a guarantee.
package peers
