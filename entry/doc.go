// Package entry runs one entry host, which takes in requests and jobs and
// dispatches them to the hosts of the pools: the control loop that owns the
// tables, and the goroutines that probe hosts, call peers (the other entries)
// and carry out changes.
//
// The loop is the only writer of the tables. Other goroutines post typed
// messages to it. At intervals it runs the systems over the tables, hands the
// changes that they decide on to the goroutines that carry them out, and
// publishes a snapshot for the router.
package entry
