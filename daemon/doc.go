// Package daemon runs one entry process: its listeners, the entry that serves
// them and its graceful stop.
package daemon
