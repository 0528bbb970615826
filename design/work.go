package design

import (
	. "goa.design/goa/v3/dsl"
)

// workAttributes declares the attributes of a request or job.
func workAttributes() {
	Attribute("queue", String, "Queue for the work", func() { MaxLength(128) })
	Attribute("customer", String, "Customer to which the work belongs", func() { MaxLength(128) })
	Attribute("kind", String, "Job kind", func() { MaxLength(128) })
	Attribute("due", String, "Time by which the work must be finished, RFC 3339 or a duration from now", func() { MaxLength(64) })
	Attribute("idempotent", Boolean, "Whether the work may run more than once; when absent, the declaration of the job kind applies")
	Attribute("key", String, "Idempotency key: calls with the same key are the same work", func() { MaxLength(255) })
	Required("queue", "customer", "kind")
}

// workHeaders declares the headers that carry the attributes of a request or job.
func workHeaders() {
	Header("customer:Customer")
	Header("kind:Kind")
	Header("due:Due")
	Header("idempotent:Idempotent")
	Header("key:Idempotency-Key")
}

// Job is the state of a submitted job.
var Job = Type("Job", func() {
	Attribute("id", String, "Id of the job")
	Attribute("queue", String)
	Attribute("customer", String)
	Attribute("kind", String)
	Attribute("state", String, "waiting, running, done, failed, cancelled, unknown or parked")
	Attribute("attempts", Int, "Number of dispatches so far")
	Attribute("cause", String, "Reason for the state")
	Attribute("submitted", String, "Time of acceptance, RFC 3339")
	Attribute("due", String, "Time by which the job must be finished, RFC 3339")
	Required("id", "queue", "customer", "kind", "state", "attempts")
})

var _ = Service("work", func() {
	Description("Requests and jobs of callers.")
	refusalErrors("invalid", "not_found", "not_run", "unknown", "mismatch", "too_large", "running")
	HTTP(func() {
		refusalResponse("invalid", StatusBadRequest)
		refusalResponse("not_found", StatusNotFound)
		refusalResponse("not_run", StatusServiceUnavailable)
		refusalResponse("unknown", StatusGatewayTimeout)
		refusalResponse("mismatch", StatusUnprocessableEntity)
		refusalResponse("too_large", StatusRequestEntityTooLarge)
		refusalResponse("running", StatusConflict)
	})

	Method("request", func() {
		Description("Run a request and stream its response.")
		Payload(workAttributes)
		Result(func() {
			Attribute("id", String, "Id of the request")
			Attribute("outcome", String, "answered")
			Attribute("status", Int, "Status of the endpoint's response")
			Attribute("type", String, "Content type of the response")
			Attribute("length", Int64, "Length of the response in bytes, if known")
			Required("id", "outcome", "status")
		})
		HTTP(func() {
			POST("/v1/queues/{queue}/requests")
			workHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("id:Id")
				Header("outcome:Outcome")
				Header("status:Endpoint-Status")
				Header("type:Content-Type")
				Header("length:Content-Length")
			})
		})
	})

	Method("submit", func() {
		Description("Accept a job. An accepted job is kept until its result is fetched or expires.")
		Payload(workAttributes)
		Result(Job)
		HTTP(func() {
			POST("/v1/queues/{queue}/jobs")
			workHeaders()
			SkipRequestBodyEncodeDecode()
			Response(StatusAccepted)
		})
	})

	Method("follow", func() {
		Description("Return the state of a job. With wait, return it once the job has ended or the time has passed.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(256) })
			Attribute("wait", String, "How long to wait for the job to end, at most 30s", func() { MaxLength(16) })
			Required("id")
		})
		Result(Job)
		HTTP(func() {
			GET("/v1/jobs/{id}")
			Param("wait")
			Response(StatusOK)
		})
	})

	Method("fetch", func() {
		Description("Return the result of a job that has ended.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(256) })
			Required("id")
		})
		Result(func() {
			Attribute("id", String)
			Attribute("state", String)
			Required("id", "state")
		})
		HTTP(func() {
			GET("/v1/jobs/{id}/result")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("id:Id")
				Header("state:State")
			})
		})
	})

	Method("cancel", func() {
		Description("Cancel a job. A job that already runs is asked to stop.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(256) })
			Required("id")
		})
		Result(Job)
		HTTP(func() {
			DELETE("/v1/jobs/{id}")
			Response(StatusOK)
		})
	})
})

var _ = Service("health", func() {
	Description("Liveness and readiness probes for the load balancer.")
	Error("unready", Refusal)
	Method("live", func() {
		Result(String)
		HTTP(func() { GET("/healthz") })
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() {
			GET("/readyz")
			refusalResponse("unready", StatusServiceUnavailable)
		})
	})
})
