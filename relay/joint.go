package relay

import "fmt"

const (
	// maxJoints and maxLoggedID bound what is logged of the places where a stream was continued.
	maxJoints   = 8
	maxLoggedID = 20
)

// noteJoint notes where an attempt goes on with a stream of which the caller has a part.
func (x *exchange) noteJoint(first event) {
	if last := x.req.LastEventID; last != "" && len(x.joints) < maxJoints {
		x.joints = append(x.joints, last[:min(len(last), maxLoggedID)]+">"+first.id[:min(len(first.id), maxLoggedID)])
	}
}

// recordEnd counts how an answer was framed whose head has arrived, and what became of it.
func (x *exchange) recordEnd(a *attempt, r result) {
	x.framing = a.framing
	if a.framing != "" {
		x.server.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_endpoint_answers_total{framing=%q,result=%q}", a.framing, r)).Inc()
	}
}
