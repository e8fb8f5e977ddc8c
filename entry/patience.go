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

// patientWriter bounds the pause in which a caller takes nothing of its answer.
// Without it a caller that stops reading would hold its request, and with it a
// place in an endpoint's window, for as long as it likes.
type patientWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	patience time.Duration
	// setAt is when the deadline was last moved.
	setAt time.Time
}

func newPatientWriter(w http.ResponseWriter, patience clock.Millis) *patientWriter {
	return &patientWriter{ResponseWriter: w, control: http.NewResponseController(w), patience: patience.Duration()}
}

// Write moves the deadline on and writes.
func (w *patientWriter) Write(p []byte) (n int, err error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written to the caller.
func (w *patientWriter) Flush() (err error) {
	w.extend()
	if err = w.control.Flush(); err != nil {
		return refusal.New(refusal.Cancelled, "caller takes nothing of the answer").WithRun(refusal.Ran)
	}
	return nil
}

// Unwrap lets a ResponseController find the writer below.
func (w *patientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend moves the deadline only when a good part of it has passed, as moving
// it at every piece costs more than the piece.
func (w *patientWriter) extend() {
	const parts = 8
	now := time.Now()
	if now.Sub(w.setAt) < w.patience/parts {
		return
	}
	w.setAt = now
	_ = w.control.SetWriteDeadline(now.Add(w.patience))
}

// pacedBody bounds the pause in which a body does not grow.
type pacedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	patience time.Duration
	mu       sync.Mutex
	// stopped bodies give nothing more; a Read under way ends at once.
	stopped bool
	// ended is true once nothing of the body is left.
	ended bool
}

func newPacedBody(w http.ResponseWriter, r *http.Request, patience clock.Millis) *pacedBody {
	return &pacedBody{ReadCloser: r.Body, control: http.NewResponseController(w), patience: patience.Duration(), ended: r.Body == http.NoBody}
}

// closeUnlessEnded has the connection closed after a response that begins
// before the body has ended. In full duplex net/http reads what is left of a
// body only after it has stopped watching the connection; it then watches again
// while it waits for the next request, and panics under that request.
func (b *pacedBody) closeUnlessEnded(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		h.Set("Connection", "close")
	}
}

// Read reads the next part, or fails when it does not come in time.
func (b *pacedBody) Read(p []byte) (n int, err error) {
	if !b.extend() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err = b.ReadCloser.Read(p)
	if err != nil {
		b.rest(err == io.EOF)
	}
	return n, err
}

// extend moves the deadline on, unless the body was stopped.
func (b *pacedBody) extend() (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	_ = b.control.SetReadDeadline(time.Now().Add(b.patience))
	return true
}

// rest takes the deadline away at the body's end. The server reads on to notice
// that the caller goes away; an old deadline would end the request instead.
func (b *pacedBody) rest(ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = b.ended || ended
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// stop ends a Read under way and all later ones. A body that has ended is left
// alone: the server then reads on to notice that the caller goes away, and a
// deadline under that read would cancel the request, and with it a next try.
func (b *pacedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.stopped = true
	_ = b.control.SetReadDeadline(time.Now())
}

// readWhole reads a body of at most limit bytes within a time.
func readWhole(w http.ResponseWriter, body io.Reader, limit int64, patience clock.Millis) (data []byte, err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(patience.Duration()))
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refusal.New(refusal.SlowBody, "body did not arrive in "+patience.String())
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
