package relay

import "fmt"

const (
	// maxResumptions and maxLoggedID bound what is logged of the places where a stream was continued.
	maxResumptions = 8
	maxLoggedID    = 20
)

// noteResumption notes where an attempt goes on with a stream of which the caller has a part.
func (x *exchange) noteResumption(first event) {
	if last := x.req.LastEventID; last != "" && len(x.resumptions) < maxResumptions {
		x.resumptions = append(x.resumptions, last[:min(len(last), maxLoggedID)]+">"+first.id[:min(len(first.id), maxLoggedID)])
	}
}

// recordEnd counts how an answer was framed whose head has arrived, and what became of it.
func (x *exchange) recordEnd(a *attempt, r result) {
	x.framing = a.framing
	if a.framing != "" {
		x.server.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_endpoint_answers_total{framing=%q,result=%q}", a.framing, r)).Inc()
	}
}
