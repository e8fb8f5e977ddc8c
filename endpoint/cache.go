package endpoint

import (
	"context"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// cachePartBytes is the maximum size of one part of a cache.
	cachePartBytes = 256 << 10
	// maxCacheBytes bounds the size of a session's cache that may be transferred.
	maxCacheBytes = 256 << 20
	// cacheTimeout bounds how long a request waits for its session's cache. After this time the
	// engine prefills the prompt again, which only takes longer.
	cacheTimeout = 2 * clock.Second
)

var (
	errNoCache    = engine.Errors.NewType("no-cache").New("the session's last endpoint has no cache of it")
	errCacheLarge = engine.Errors.NewType("cache-large").New("the session's cache has more than %d bytes", maxCacheBytes)
)

// Export streams a session's KV cache to the endpoint that now runs the session.
func (e *Endpoint) Export(in *wire.ExportRequest, stream wire.DRPCGate_ExportStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	body, err := e.engine.Export(stream.Context(), in.GetSession(), in.GetVersion())
	if err != nil {
		return stream.Send(&wire.CachePart{Missing: true})
	}
	defer body.Close()
	buf := make([]byte, cachePartBytes)
	for {
		n, readErr := io.ReadFull(body, buf)
		last := readErr == io.EOF || readErr == io.ErrUnexpectedEOF
		if readErr != nil && !last {
			return readErr
		}
		if err = stream.Send(&wire.CachePart{Data: buf[:n], Last: last}); err != nil || last {
			return err
		}
	}
}

// moveCache fetches a session's KV cache from the endpoint that ran the session before. The
// request runs even if this fails: without the cache it only takes longer.
func (e *Endpoint) moveCache(ctx context.Context, head *wire.RunHead) {
	from := head.GetCacheFrom()
	pool, ok := e.pool()
	if from == "" || from == e.node.Settings().VM || !ok || !pool.MovesCache {
		return
	}
	err := e.fetchCache(ctx, head, from)
	result := "moved"
	if err != nil {
		result = "failed"
		e.node.Log().Debug("Could not transfer session cache", "session", head.GetSession(), "from", from, "error", err)
	}
	e.node.Metrics().GetOrCreateCounter(fmt.Sprintf("parsleydeal_cache_moves_total{result=%q}", result)).Inc()
}

func (e *Endpoint) fetchCache(ctx context.Context, head *wire.RunHead, from string) (err error) {
	vm, ok := e.node.View().Members().Find(from)
	if !ok {
		return errNoCache
	}
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout.Duration())
	defer cancel()
	in := &wire.ExportRequest{Session: head.GetSession(), Version: head.GetVersion()}
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Export(ctx, in)
	if err != nil {
		return err
	}
	defer stream.Close()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetMissing() {
		return errNoCache
	}
	parts := &partReader{recv: stream.Recv, unread: first.GetData(), last: first.GetLast()}
	return e.engine.Import(ctx, head.GetSession(), head.GetVersion(), parts)
}

// partReader reads a cache from its parts. It returns io.EOF only after the last part: an
// engine must not accept a truncated cache as a complete one.
type partReader struct {
	recv   func() (*wire.CachePart, error)
	unread []byte
	last   bool
	read   int
}

func (p *partReader) Read(buf []byte) (n int, err error) {
	for len(p.unread) == 0 {
		if p.last {
			return 0, io.EOF
		}
		part, err := p.recv()
		if err != nil {
			return 0, errorx.Decorate(err, "cache broke off after %d bytes", p.read)
		}
		p.unread, p.last = part.GetData(), part.GetLast()
	}
	n = copy(buf, p.unread)
	p.unread = p.unread[n:]
	p.read += n
	if p.read > maxCacheBytes {
		return n, errCacheLarge
	}
	return n, nil
}
