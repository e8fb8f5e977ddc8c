package relay

import (
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// readAheadDelay is how long a write to the caller may take before the entry reads ahead. It is
	// far below the time after which an endpoint cuts off an answer that nobody reads.
	readAheadDelay = 50 * clock.Millis(1)
	// maxReadAheadBytes bounds what is read ahead of one answer. At the bound the endpoint is not
	// read until the caller has taken some of it.
	maxReadAheadBytes = 256 << 10
)

// readAhead reads the events of one answer. While a write to the caller is blocked it reads ahead
// into a bounded buffer, because an endpoint cuts off an answer that is not read for some seconds.
// Answers whose callers keep up are read directly, without a buffer or another goroutine.
type readAhead struct {
	// read reads the next event after prepare has set the time until which it may wait. interrupt
	// ends a read that waits.
	prepare   func() error
	read      func() (event, error)
	interrupt func()
	held      *heldBytes
	caller    heldAnswer
	mu        sync.Mutex
	// changed is signalled when anything below changes.
	changed *sync.Cond
	// started is true once reading ahead has begun; from then on all events come from queue.
	// running is true until it has ended.
	started bool
	running bool
	queue   []event
	// bytes is the total size of queue.
	bytes int
	// err ended the reading; it follows the queued events.
	err    error
	closed bool
}

// next returns the next event, or the error that ended the reading.
func (r *readAhead) next() (e event, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		if err = r.prepare(); err != nil {
			return e, err
		}
		return r.read()
	}
	for len(r.queue) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.queue) == 0 {
		return e, r.err
	}
	e = r.queue[0]
	r.queue = r.queue[1:]
	r.bytes -= len(e.raw)
	r.held.release(&r.caller, len(e.raw))
	r.changed.Broadcast()
	return e, nil
}

// during calls write, and reads ahead from when it has taken readAheadDelay.
func (r *readAhead) during(write func() error) (err error) {
	timer := time.AfterFunc(readAheadDelay.Duration(), r.run)
	defer timer.Stop()
	return write()
}

// run reads ahead until the end of the answer or until close.
func (r *readAhead) run() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started || r.closed {
		return
	}
	r.started, r.running = true, true
	for r.err == nil && !r.closed {
		r.readOne()
		r.changed.Broadcast()
		for r.bytes >= maxReadAheadBytes && !r.closed {
			r.changed.Wait()
		}
	}
	r.running = false
	r.changed.Broadcast()
}

// readOne reads one event into the queue. It is called with mu held and releases it meanwhile.
func (r *readAhead) readOne() {
	if r.err = r.prepare(); r.err != nil {
		return
	}
	r.mu.Unlock()
	e, err := r.read()
	r.mu.Lock()
	if r.err = err; err != nil || r.closed {
		return
	}
	r.queue = append(r.queue, e)
	r.bytes += len(e.raw)
	r.held.hold(&r.caller, len(e.raw))
}

// close ends the reading and releases what is held. It returns when nothing reads the answer any
// more.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.held.release(&r.caller, r.bytes)
	r.queue, r.bytes = nil, 0
	r.changed.Broadcast()
	if r.running {
		r.interrupt()
	}
	for r.running {
		r.changed.Wait()
	}
}
