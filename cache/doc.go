// Package cache keeps an entry's replica of the control documents that live in
// the platform's key-value service.
//
// A document has a revision of its own that grows by one with each accepted
// update. The replica never replaces a document by one of a lower revision,
// whether that comes from a watch, a list or a peer. The revisions of the service
// are used for compare-and-swap only, since they may start again at a lower
// number when the service is restored.
package cache
