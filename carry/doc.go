// Package carry turns the changes that systems ask for into steps: writes of the
// documents in the platform's store, and orders to the platform. It also loads
// the documents into the tables.
//
// Each step is either a pure rule on the body of one document, to be written by
// compare-and-swap, or an order to reboot a host. A step that fails ends the
// change; the system then asks again, based on the documents as they are by
// then.
package carry
