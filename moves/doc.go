// Package moves assigns hosts to pools, brings pools to their declared sizes,
// and lends hosts of the spare pool to pools that have been late for longer
// than a move takes.
//
// A move of a host takes these steps: a permit with reason move in the pool
// that gives the host; the start of the move in the placement document, which
// marks the host; the drain; the completion in the placement document; the end
// of the permit. Each is settled by compare-and-swap in a document, so that any
// entry can continue a move from the documents alone.
package moves
