package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
)

// promises are the statuses by which callers know that a request did not run and
// never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// RetrySafeStatus returns the HTTP status for callers that take some statuses for a
// promise. A refusal of a request that may have run never gets one of these, or
// the caller would run it a second time; one that did not run gets one wherever
// its own status promises nothing, so that the caller may come back.
func (r *Refusal) RetrySafeStatus() int {
	status := r.Status()
	switch {
	case r.run != NotRun && promises[status]:
		return http.StatusBadGateway
	case r.run == NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// body is the JSON form of a refusal.
type body struct {
	Error struct {
		Message string `json:"message"`
		Code    Code   `json:"code"`
		Run     Run    `json:"run"`
	} `json:"error"`
}

// Write answers a request with the refusal. After is when the caller may come
// back; 0 leaves it out.
func (r *Refusal) Write(w http.ResponseWriter, req *http.Request, after clock.Millis) {
	var b body
	b.Error.Message, b.Error.Code, b.Error.Run = r.message, r.code, r.run
	data, _ := json.Marshal(b)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if after > 0 && r.run == NotRun {
		h.Set("Retry-After", strconv.FormatFloat(float64(after)/float64(clock.Second), 'f', 3, 64))
	}
	w.WriteHeader(r.RetrySafeStatus())
	if req.Method != http.MethodHead {
		_, _ = w.Write(data)
	}
}
