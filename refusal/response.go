package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
)

// notRunStatuses are the statuses from which callers conclude that the request did not run and
// never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// RetrySafeStatus returns the HTTP status for callers that decide by the status whether to
// retry. A refusal of a request that may have run never gets a status from which the caller would
// conclude that it did not, because the caller would run the request a second time. A refusal of a
// request that did not run gets 503 in place of any 5xx status, so that the caller may retry.
func (r *Refusal) RetrySafeStatus() int {
	status := r.Status()
	switch {
	case r.run != NotRun && notRunStatuses[status]:
		return http.StatusBadGateway
	case r.run == NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// responseBody is the JSON body of a refusal.
type responseBody struct {
	Error struct {
		Message string `json:"message"`
		Code    Code   `json:"code"`
		Run     Run    `json:"run"`
	} `json:"error"`
}

// Write sends the refusal as the response. retryAfter is sent as the Retry-After header, in
// seconds with three decimals, unless it is 0 or the request may have run.
func (r *Refusal) Write(w http.ResponseWriter, req *http.Request, retryAfter clock.Millis) {
	var b responseBody
	b.Error.Message, b.Error.Code, b.Error.Run = r.message, r.code, r.run
	data, _ := json.Marshal(b)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if retryAfter > 0 && r.run == NotRun {
		h.Set("Retry-After", strconv.FormatFloat(float64(retryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	w.WriteHeader(r.RetrySafeStatus())
	if req.Method != http.MethodHead {
		_, _ = w.Write(data)
	}
}
