// Package logbook writes log lines without ever holding up the work that they
// tell of: lines wait in a bounded queue, a goroutine of its own writes them, and
// a budget bounds how many are written a second.
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
	// queueLength bounds the lines that wait: two seconds of the budget.
	queueLength = 2 * linesPerSecond
	// linesPerSecond is the budget. An entry at its usual peak of 50 requests a
	// second writes about a hundred.
	linesPerSecond = 600
	// burst is how many lines may be saved up, so that the first second of a
	// failure is told in full.
	burst = 2 * linesPerSecond
	// drainTimeout bounds the wait for the queue when the process stops.
	drainTimeout = 200 * clock.Millis(1)
)

// Writer is a writer of log lines that never blocks.
type Writer struct {
	clock clock.Clock
	out   io.Writer
	lines chan []byte
	// lost counts lines that found the queue full or the budget spent; told is
	// how many of them were told of.
	lost atomic.Int64
	told int64
	// tokens is what is left of the budget as of refilledAt.
	tokens     float64
	refilledAt clock.Millis
}

// New makes a book that writes to out once Run is called.
func New(c clock.Clock, out io.Writer) *Writer {
	return &Writer{clock: c, out: out, lines: make(chan []byte, queueLength), tokens: burst, refilledAt: c.Now()}
}

// Write takes one line. It never blocks and never fails.
func (b *Writer) Write(line []byte) (n int, err error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines were not written.
func (b *Writer) Lost() int64 { return b.lost.Load() }

// Run writes lines until the context ends, and then what still waits.
func (b *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ctx.Done():
			b.drain()
			return
		}
	}
}

func (b *Writer) drain() {
	end := b.clock.Now() + drainTimeout
	for b.clock.Now() < end {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

func (b *Writer) write(line []byte) {
	if !b.spend() {
		b.lost.Add(1)
		return
	}
	if lost := b.lost.Load(); lost > b.told {
		fmt.Fprintf(b.out, "Log lines were left out lost=%d in-all=%d\n", lost-b.told, lost)
		b.told = lost
	}
	_, _ = b.out.Write(line)
}

func (b *Writer) spend() bool {
	now := b.clock.Now()
	b.tokens = min(b.tokens+float64(now-b.refilledAt)*linesPerSecond/float64(clock.Second), burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Text is an error as one line; loggers write some errors with their stack.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}
