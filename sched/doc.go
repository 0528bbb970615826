// Package sched decides which of a pool's waiting items starts next.
//
// A Queue holds the items of one pool that wait at one entry. Push adds an
// item, Pop removes the item to start now, and Done records the end of its run.
// A Queue is not safe for concurrent use.
//
// Waiting items are grouped by class, quota, band of ranks and lane. A plan,
// rebuilt periodically, estimates which bands can meet their due times.
package sched
