// Package jobs runs the jobs in an entry's ledger. It dispatches accepted jobs
// through the router, records each start before its dispatch and each outcome
// after it, and adopts the ledgers of entries that are gone.
//
// If a job's start is recorded but its outcome is not, its worker is asked for the
// outcome. A job whose outcome stays unknown is dispatched again only if it is
// idempotent.
package jobs
