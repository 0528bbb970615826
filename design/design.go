// Package design declares the HTTP API for callers and operators. The code in gen
// is generated from it by "make gen" and committed.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("shallotpaddle", func() {
	Title("Fleet capacity and maintenance manager")
	Description("Requests and jobs for callers; release notes and fleet state for operators.")
	Server("callers", func() {
		Services("work", "health")
		Host("entry", func() { URI("http://127.0.0.1:8080") })
	})
	Server("operators", func() {
		Services("fleet")
		Host("entry", func() { URI("http://127.0.0.1:8090") })
	})
})

// Refusal is the body of every error response of the API.
var Refusal = Type("Refusal", func() {
	Description("An error, and whether the call may have had an effect.")
	ErrorName("name", String, "Name of the error")
	Attribute("message", String, "What is wrong, with the field and its limit")
	Attribute("outcome", String, "not-run: the call had no effect; unknown: it may have had one", func() { Enum("not-run", "unknown") })
	Attribute("id", String, "Id of the request or job, if it has one")
	Attribute("retry", Int, "Seconds after which a retry may succeed; 0 means do not retry")
	Required("name", "message", "outcome")
})

// refusalResponse declares the HTTP status and headers of an error.
func refusalResponse(name string, status int) {
	Response(name, status, func() {
		Header("outcome:Outcome")
		Header("retry:Retry-After")
		Header("id:Id")
	})
}

// refusalErrors declares errors that have Refusal as their body.
func refusalErrors(names ...string) {
	for _, n := range names {
		Error(n, Refusal)
	}
}
