package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// When an endpoint refuses a call while the body is being sent, the entry stops reading the body and
// tries another endpoint. If the body has already been read to its end, the stop must do nothing: a
// read deadline would make the server assume that the caller disconnected and cancel the next
// attempt, and the caller would get "unknown" for a call that never ran.
func TestStopAfterEndOfBodyKeepsRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan bool, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		body := newTimeoutBody(w, r, 30*clock.Second)
		_, _ = io.Copy(io.Discard, body)
		body.stop()
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-time.After(100 * time.Millisecond):
			cancelled <- false
		}
	}))
	defer srv.Close()
	resp, err := http.Post(srv.URL, "text/plain", strings.NewReader("renew"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(!<-cancelled)
}

// A caller sends part of its body and then nothing more. Stopping must end the read at once, not
// after the configured timeout.
func TestStopEndsPendingRead(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		body := newTimeoutBody(w, r, clock.Hour)
		time.AfterFunc(50*time.Millisecond, body.stop)
		_, err := io.Copy(io.Discard, body)
		ended <- err
	}))
	defer srv.Close()
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() { _, _ = pw.Write([]byte("part")) }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, pr)
	is.NoErr(err)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	is.True(<-ended != nil)
}
