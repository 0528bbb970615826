package design

import (
	. "goa.design/goa/v3/dsl"
)

// Credential is the security scheme of the operators' calls.
var Credential = APIKeySecurity("token", func() {
	Description("Operator's token from the settings, sent as a bearer token.")
})

func tokenAttribute() {
	APIKey("token", "token", String, "Operator's bearer token")
}

func tokenHeader() { Header("token:Authorization") }

// Accepted describes an accepted release note.
var Accepted = Type("Accepted", func() {
	Attribute("rev", Int64, "Revision of the configuration")
	Attribute("note", String, "Id of the release note")
	Attribute("lines", ArrayOf(String), "What the note changes, one line each")
	Attribute("operator", String)
	Attribute("time", String, "Time of acceptance, RFC 3339")
	Required("rev", "note", "lines")
})

// Status is the progress of a revision's rollout.
var Status = Type("Status", func() {
	Attribute("rev", Int64)
	Attribute("accepted", String, "Time of acceptance, RFC 3339")
	Attribute("entries", func() {
		Attribute("total", Int, "Registered entries")
		Attribute("force", Int, "Entries at this revision or a later one")
		Required("total", "force")
	})
	Attribute("effect", Boolean, "Whether all drains and moves that the revision requires are done")
	Attribute("pending", ArrayOf(String), "What is not done yet, one line each")
	Attribute("times", func() {
		Attribute("force", String, "Time from acceptance until the revision was in force at all entries")
		Attribute("effect", String, "Time from acceptance until the revision was in full effect")
	})
	Required("rev", "entries", "effect", "pending", "times")
})

// FleetState is the state of the fleet as known to the entry that responds.
var FleetState = Type("FleetState", func() {
	Attribute("rev", Int64)
	Attribute("pools", ArrayOf(PoolState))
	Attribute("hosts", ArrayOf(HostState))
	Attribute("entries", ArrayOf(EntryState))
	Required("rev", "pools", "hosts", "entries")
})

// PoolState is the state of one pool.
var PoolState = Type("PoolState", func() {
	Attribute("name", String)
	Attribute("hosts", Int)
	Attribute("out", Int, "Hosts that count against the availability budget")
	Attribute("budget", Int)
	Attribute("slots", Int, "Slots that accept new work")
	Attribute("busy", Int)
	Attribute("waiting", Int, "Requests and jobs waiting at all entries")
	Attribute("owner", String, "Entry that owns the pool and performs its duties")
	Required("name", "hosts", "out", "budget", "slots", "busy", "waiting", "owner")
})

// HostState is the state of one host.
var HostState = Type("HostState", func() {
	Attribute("name", String)
	Attribute("dc", String)
	Attribute("rack", String)
	Attribute("pool", String)
	Attribute("next", String)
	Attribute("reason", String)
	Attribute("phase", String)
	Attribute("healthy", Boolean)
	Attribute("busy", Int)
	Attribute("slots", Int)
	Required("name", "dc", "rack", "pool", "next", "reason", "phase", "healthy", "busy", "slots")
})

// EntryState is the state of one entry.
var EntryState = Type("EntryState", func() {
	Attribute("name", String)
	Attribute("dc", String)
	Attribute("rev", Int64, "Configuration revision in force")
	Attribute("age", String, "Time since the last heartbeat")
	Required("name", "dc", "rev", "age")
})

// Event is one recorded decision with the figure and limit that it was based on.
var Event = Type("Event", func() {
	Attribute("time", String)
	Attribute("entry", String)
	Attribute("what", String)
	Attribute("cause", String)
	Attribute("figure", Float64)
	Attribute("limit", Float64)
	Required("time", "entry", "what", "cause", "figure", "limit")
})

var _ = Service("fleet", func() {
	Description("Release notes, fleet state, host drains and recorded decisions, for operators.")
	Security(Credential)
	refusalErrors("unauthorized", "invalid", "not_found", "conflict", "not_accepted", "unknown")
	HTTP(func() {
		refusalResponse("unauthorized", StatusUnauthorized)
		refusalResponse("invalid", StatusBadRequest)
		refusalResponse("not_found", StatusNotFound)
		refusalResponse("conflict", StatusConflict)
		refusalResponse("not_accepted", StatusServiceUnavailable)
		refusalResponse("unknown", StatusGatewayTimeout)
	})

	Method("apply", func() {
		Description("Check a release note and, unless dry is set, accept it. The body is the note in YAML.")
		Payload(func() {
			tokenAttribute()
			Attribute("dry", Boolean, "Check the note without accepting it", func() { Default(false) })
		})
		Result(Accepted)
		HTTP(func() {
			POST("/v1/notes")
			Param("dry")
			tokenHeader()
			SkipRequestBodyEncodeDecode()
			Response(StatusOK)
		})
	})

	Method("notes", func() {
		Description("List accepted release notes, newest last.")
		Payload(tokenAttribute)
		Result(func() {
			Attribute("notes", ArrayOf(Accepted))
			Required("notes")
		})
		HTTP(func() {
			GET("/v1/notes")
			tokenHeader()
		})
	})

	Method("status", func() {
		Description("Return the progress of a revision's rollout; 0 means the latest revision.")
		Payload(func() {
			tokenAttribute()
			Attribute("rev", Int64, func() { Default(0) })
		})
		Result(Status)
		HTTP(func() {
			GET("/v1/notes/status")
			Param("rev")
			tokenHeader()
		})
	})

	Method("show", func() {
		Description("Return the state of pools, hosts and entries.")
		Payload(tokenAttribute)
		Result(FleetState)
		HTTP(func() {
			GET("/v1/fleet")
			tokenHeader()
		})
	})

	Method("drain", func() {
		Description("Take a host out of service, within its pool's availability budget.")
		Payload(func() {
			tokenAttribute()
			Attribute("host", String, func() { MaxLength(128) })
			Required("host")
		})
		HTTP(func() {
			POST("/v1/hosts/{host}/drain")
			tokenHeader()
			Response(StatusAccepted)
		})
	})

	Method("undrain", func() {
		Description("Put a host that an operator drained back into service.")
		Payload(func() {
			tokenAttribute()
			Attribute("host", String, func() { MaxLength(128) })
			Required("host")
		})
		HTTP(func() {
			DELETE("/v1/hosts/{host}/drain")
			tokenHeader()
			Response(StatusAccepted)
		})
	})

	Method("explain", func() {
		Description("Return the recorded decisions about a host, job or pool, oldest first.")
		Payload(func() {
			tokenAttribute()
			Attribute("kind", String, func() { Enum("host", "job", "pool") })
			Attribute("name", String, func() { MaxLength(256) })
			Required("kind", "name")
		})
		Result(func() {
			Attribute("events", ArrayOf(Event))
			Required("events")
		})
		HTTP(func() {
			GET("/v1/explain/{kind}/{name}")
			tokenHeader()
		})
	})

	Method("burn", func() {
		Description("Return the service-level burn report of the whole fleet as JSON.")
		Payload(tokenAttribute)
		Result(Any)
		HTTP(func() {
			GET("/v1/burn")
			tokenHeader()
		})
	})

	Method("metrics", func() {
		Description("Return this entry's metrics as JSON.")
		Payload(tokenAttribute)
		Result(Any)
		HTTP(func() {
			GET("/metrics")
			tokenHeader()
		})
	})
})
