// Package permit holds the rules of a pool's outage document: which hosts of
// the pool are out of service, why, and whether one more may be taken out.
//
// The document is the body of one key of the platform's store and changes by
// compare-and-swap only. Every rule is a method that either changes the decoded
// document or returns an error, upon which Apply keeps the old body. A caller
// whose write met a conflict reads the document again and repeats the rule. A
// rule that finds its operation already recorded succeeds without a change, so
// that a write whose answer was lost can be repeated.
//
// Two numbers keep a caller with a stale view from doing harm. ConfigRev, the
// revision of the configuration that the budget came from, only grows. Epoch is
// the placement revision at which a host joined its pool or a move of it was
// cancelled; by it, requests are refused that are based on a view from before the
// host left the pool.
package permit
