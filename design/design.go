// Package design defines the HTTP interfaces of callers and operators in goa's design
// language. It is used by `make generate` only.
package design

import (
	//revive:disable:dot-imports goa designs use dot imports
	. "goa.design/goa/v3/dsl"
)

var _ = API("parsleydeal", func() {
	Title("parsleydeal")
	Description("A model-aware router for versions and cascades.")
	Server("entry", func() {
		Host("any", func() { URI("http://localhost:8080") })
	})
})

var _ = Service("completions", func() {
	Description("Chat completions in the OpenAI shape.")

	Method("create", func() {
		Description("Create answers one chat completion as JSON, or as server-sent events when the body's stream field is true.")
		Payload(func() {
			callerAttributes()
		})
		HTTP(func() {
			POST("/v1/chat/completions")
			callerHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK)
		})
	})
})

var _ = Service("models", func() {
	Description("The models an organisation may name.")

	Method("list", func() {
		Description("List shows only what the caller's organisation may reach.")
		Payload(func() {
			Attribute("authorization", String, "Bearer key of an organisation")
		})
		Result(ModelList)
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})

// ModelList is the list of routes in the format of OpenAI's models list.
var ModelList = Type("ModelList", func() {
	Attribute("object", String, "Always \"list\"")
	Attribute("data", ArrayOf(Model))
	Required("object", "data")
})

// Model is a route that a caller may name as the model of a chat completion.
var Model = Type("Model", func() {
	Attribute("id", String, "Name of the route")
	Attribute("object", String, "Always \"model\"")
	Attribute("created", Int64, "Always 0: routes carry no date")
	Attribute("owned_by", String, "Always \"parsleydeal\"")
	Required("id", "object", "created", "owned_by")
})

func callerAttributes() {
	Attribute("authorization", String, "Bearer key of an organisation")
	Attribute("idempotency_key", String, "Key under which a retry finds the first attempt")
	Attribute("session", String, "Signed session token from an earlier answer")
	Attribute("priority", String, "low, normal or high")
}

func callerHeaders() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("session:Parsleydeal-Session")
	Header("priority:Parsleydeal-Priority")
}
