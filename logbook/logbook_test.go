package logbook

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// stuckWriter is an output that blocks until unblock is closed.
type stuckWriter struct{ unblock chan struct{} }

func (s stuckWriter) Write(p []byte) (n int, err error) {
	<-s.unblock
	return len(p), nil
}

// The log collector hangs, so writes to the output block. Write must still return at once, so that
// requests are not delayed, and the lines that it drops must be counted.
func TestStuckOutputDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	out := stuckWriter{make(chan struct{})}
	w := New(clock.System(), out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	startedAt := time.Now()
	for range 10 * queueLength {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(startedAt) < time.Second)
	is.True(w.Lost() >= 8*queueLength)
	cancel()
	close(out.unblock)
}

// lockedBuffer is an output that a test can read while the writer writes to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Under overload far more lines are logged than usual. The rate limit must hold, and the number of
// dropped lines must be written in front of the next line that the limit allows.
func TestLineRateIsBounded(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	now := clock.Millis(0)
	c := clock.New(func() clock.Millis { mu.Lock(); defer mu.Unlock(); return now })
	out := &lockedBuffer{}
	w := New(c, out)
	for range 2 {
		for i := range burst {
			w.write([]byte(fmt.Sprintf("line %d\n", i)))
		}
	}
	is.Equal(w.Lost(), int64(burst))
	is.Equal(strings.Count(out.String(), "\n"), burst)
	mu.Lock()
	now += clock.Second
	mu.Unlock()
	w.write([]byte("later\n"))
	is.True(strings.HasSuffix(out.String(), fmt.Sprintf("Log lines were left out lost=%d in-all=%d\nlater\n", burst, burst)))
}
