// Package logbook writes log lines without blocking the code that logs them. Lines wait in a
// bounded queue, a separate goroutine writes them, and a token bucket limits how many are written
// per second. Lines beyond these bounds are dropped and counted.
package logbook

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// queueLength is the maximum number of lines in the queue, as many as are written in two
	// seconds.
	queueLength = 2 * linesPerSecond
	// linesPerSecond is the maximum mean rate of written lines. An entry at its usual peak of 50
	// requests per second writes about 100 lines per second.
	linesPerSecond = 600
	// burst is the capacity of the token bucket in lines. With it the first second of a failure is
	// logged in full.
	burst = 2 * linesPerSecond
	// drainTimeout limits how long the remaining lines of the queue are written after the process
	// was asked to stop.
	drainTimeout = 200 * clock.Millis(1)
)

// Writer writes log lines without blocking. It may be used by several goroutines.
type Writer struct {
	clock clock.Clock
	out   io.Writer
	lines chan []byte
	// lost counts the lines that were dropped because the queue was full or the rate limit was
	// reached. reported is the value of lost that was last written to the log.
	lost     atomic.Int64
	reported int64
	// tokens is the number of lines that the rate limit allowed at refilledAt.
	tokens     float64
	refilledAt clock.Millis
}

// New returns a writer that writes lines to out while Run is running.
func New(c clock.Clock, out io.Writer) *Writer {
	return &Writer{clock: c, out: out, lines: make(chan []byte, queueLength), tokens: burst, refilledAt: c.Now()}
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// blocks and never fails.
func (w *Writer) Write(line []byte) (n int, err error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines have been dropped.
func (w *Writer) Lost() int64 { return w.lost.Load() }

// Run writes queued lines until the context ends, and then those still queued, for at most
// drainTimeout. It must not be called again before it has returned.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	end := w.clock.Now() + drainTimeout
	for w.clock.Now() < end {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if !w.takeToken() {
		w.lost.Add(1)
		return
	}
	if lost := w.lost.Load(); lost > w.reported {
		fmt.Fprintf(w.out, "Log lines were left out lost=%d in-all=%d\n", lost-w.reported, lost)
		w.reported = lost
	}
	_, _ = w.out.Write(line)
}

func (w *Writer) takeToken() bool {
	now := w.clock.Now()
	w.tokens = min(w.tokens+float64(now-w.refilledAt)*linesPerSecond/float64(clock.Second), burst)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Text returns the text of an error as one line, or "" for nil. Log fields should use it, since
// some errors would otherwise be logged with their stack trace.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}
