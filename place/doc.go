// Package place holds the rules of a data centre's placement document: the pool
// of each of its hosts, and the moves under way. The pool is one field of the
// host's record, so a host is never in two pools. A host is marked while its
// record names the pool that it is being moved to. The package also chooses hosts
// for pools so that each pool is spread over racks and data centres.
//
// The document is the body of one key of the platform's store and changes by
// compare-and-swap only. A rule changes the decoded document or returns an
// error and leaves it as it was; a rule whose operation is already recorded
// succeeds without a change.
//
// Each record carries an epoch, the document's revision when the host last
// joined or left a pool or a move of it was cancelled. Since revisions only
// grow, an operation that is based on an older epoch is refused, even if the host
// or the pool was withdrawn and added again in the meantime.
package place
