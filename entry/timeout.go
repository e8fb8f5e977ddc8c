package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// timeoutWriter makes writes fail if the caller has read nothing of its answer for the timeout.
// Otherwise a caller that stops reading could hold its request, and a slot in an endpoint's window,
// indefinitely.
type timeoutWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// setAt is when the deadline was last extended.
	setAt time.Time
}

func newTimeoutWriter(w http.ResponseWriter, timeout clock.Millis) *timeoutWriter {
	return &timeoutWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout.Duration()}
}

// Write extends the deadline and writes.
func (w *timeoutWriter) Write(p []byte) (n int, err error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// Flush sends the buffered data to the caller.
func (w *timeoutWriter) Flush() (err error) {
	w.extendDeadline()
	if err = w.control.Flush(); err != nil {
		return refusal.New(refusal.Cancelled, "caller takes nothing of the answer").WithRun(refusal.Ran)
	}
	return nil
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline extends the deadline only after an eighth of the timeout has passed, as doing so
// for every piece costs more than writing the piece.
func (w *timeoutWriter) extendDeadline() {
	const parts = 8
	now := time.Now()
	if now.Sub(w.setAt) < w.timeout/parts {
		return
	}
	w.setAt = now
	_ = w.control.SetWriteDeadline(now.Add(w.timeout))
}

// timeoutBody makes reads fail if no data of the body arrives for the timeout.
type timeoutBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
	mu      sync.Mutex
	// stopped makes the pending and all later reads fail at once.
	stopped bool
	// ended is true once the body has been read to its end.
	ended bool
}

func newTimeoutBody(w http.ResponseWriter, r *http.Request, timeout clock.Millis) *timeoutBody {
	return &timeoutBody{ReadCloser: r.Body, control: http.NewResponseController(w), timeout: timeout.Duration(), ended: r.Body == http.NoBody}
}

// closeUnlessEnded makes the server close the connection after a response that starts before the
// body has ended. In full duplex, net/http first stops its background read of the connection and
// then reads the rest of the body. At the end of the body it starts the background read again, and
// panics when the next request arrives.
func (b *timeoutBody) closeUnlessEnded(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		h.Set("Connection", "close")
	}
}

// Read reads the next part, or fails if none arrives in time.
func (b *timeoutBody) Read(p []byte) (n int, err error) {
	if !b.extendDeadline() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err = b.ReadCloser.Read(p)
	if err != nil {
		b.clearDeadline(err == io.EOF)
	}
	return n, err
}

// extendDeadline extends the read deadline. It returns false if stop was called.
func (b *timeoutBody) extendDeadline() (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	return true
}

// clearDeadline removes the deadline after a read that failed or reached the body's end. The server
// keeps reading to detect that the caller disconnects, and an old deadline would cancel the request.
func (b *timeoutBody) clearDeadline(ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = b.ended || ended
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// stop ends the pending read and all later ones. It does nothing once the body has ended: the server
// then keeps reading to detect that the caller disconnects, and a deadline on that read would cancel
// the request and with it the next attempt.
func (b *timeoutBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.stopped = true
	_ = b.control.SetReadDeadline(time.Now())
}

// readLimited reads a body of at most limit bytes within the timeout.
func readLimited(w http.ResponseWriter, body io.Reader, limit int64, timeout clock.Millis) (data []byte, err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout.Duration()))
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refusal.New(refusal.SlowBody, "body did not arrive in "+timeout.String())
	}
	if err != nil {
		return nil, refusal.New(refusal.Malformed, "body could not be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(data)) > limit {
		return nil, refusal.New(refusal.TooLarge, "body is larger than allowed")
	}
	return data, nil
}
