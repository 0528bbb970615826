// Package once stores, in the platform's key-value service, the records that
// must not be lost and that keep work from running twice: the ledger of
// accepted jobs and the claims of Idempotency-Key values.
//
// Both are state machines over a Log: numbered segments, each written with a
// compare-and-swap that only one writer can win. Leases and rendezvous hashing
// choose the entry that should write; correctness does not depend on that
// choice.
package once
