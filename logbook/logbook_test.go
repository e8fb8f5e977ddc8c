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

// stuck is a standard output that nobody reads.
type stuck struct{ free chan struct{} }

func (s stuck) Write(p []byte) (n int, err error) {
	<-s.free
	return len(p), nil
}

// Whatever collects the lines hangs. Requests go on: writing a line takes no
// longer than before, and those that found no room are counted.
func TestStuckOutputDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	out := stuck{make(chan struct{})}
	b := New(clock.System(), out)
	ctx, cancel := context.WithCancel(context.Background())
	go b.Run(ctx)
	begun := time.Now()
	for range 10 * queueLength {
		_, err := b.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	is.True(b.Lost() >= 8*queueLength)
	cancel()
	close(out.free)
}

// buffer is a standard output that a test reads.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Ten times the usual load writes ten times the lines. The budget holds, and the
// loss is told as soon as there is room for it.
func TestLineRateIsBounded(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	now := clock.Millis(0)
	c := clock.New(func() clock.Millis { mu.Lock(); defer mu.Unlock(); return now })
	out := &buffer{}
	b := New(c, out)
	for range 2 {
		for i := range burst {
			b.write([]byte(fmt.Sprintf("line %d\n", i)))
		}
	}
	is.Equal(b.Lost(), int64(burst))
	is.Equal(strings.Count(out.String(), "\n"), burst)
	mu.Lock()
	now += clock.Second
	mu.Unlock()
	b.write([]byte("later\n"))
	is.True(strings.HasSuffix(out.String(), fmt.Sprintf("Log lines were left out lost=%d in-all=%d\nlater\n", burst, burst)))
}
