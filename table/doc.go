// Package table holds what an entry knows of the fleet: the configuration, which
// declares pools, queues, customers and job kinds, and the state of hosts and pools.
//
// The control loop owns one Tables value and is the only one to change it. In each
// tick, the systems, such as those in packages maint, moves and eject, read it and
// return the changes that they decide on.
package table
