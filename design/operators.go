package design

import (
	//revive:disable:dot-imports goa designs use dot imports
	. "goa.design/goa/v3/dsl"
)

var _ = Service("operations", func() {
	Description("The operators' interface, on a port of its own.")

	Method("health", func() {
		Description("Health answers while the process runs.")
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK, func() { ContentType("text/plain") })
		})
	})

	Method("ready", func() {
		Description("Ready fails while the process must receive no new work.")
		Result(String)
		Error("not_ready", ErrorResult, "The process has no tables yet, or is leaving")
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK, func() { ContentType("text/plain") })
			Response("not_ready", StatusServiceUnavailable)
		})
	})

	Method("metrics", func() {
		Description("Metrics in the Prometheus text format.")
		HTTP(func() {
			GET("/metrics")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("text/plain; version=0.0.4") })
		})
	})

	Method("status", func() {
		Description("Status shows revision, staleness, holds, zones, windows and waiting bills as JSON.")
		HTTP(func() {
			GET("/status")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/json") })
		})
	})

	Method("burn", func() {
		Description("Burn shows the service-level burn that this process has seen, as JSON.")
		HTTP(func() {
			GET("/burn")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { ContentType("application/json") })
		})
	})
})
