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
	// cachePart is how much of a cache one part carries.
	cachePart = 256 << 10
	// maxCache bounds the bytes of one session's cache that are moved.
	maxCache = 256 << 20
	// cacheWait bounds how long a request waits for its session's cache. Beyond
	// it the engine reads the prompt again, which costs time and nothing else.
	cacheWait = 2 * clock.Second
)

var (
	errNoCache    = engine.Errors.NewType("no-cache").New("the session's last endpoint has no cache of it")
	errCacheLarge = engine.Errors.NewType("cache-large").New("the session's cache has more than %d bytes", maxCache)
)

// Export streams a session's KV cache to the endpoint that runs the session now.
func (e *Endpoint) Export(in *wire.ExportRequest, stream wire.DRPCGate_ExportStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	body, err := e.engine.Export(stream.Context(), in.GetSession(), in.GetVersion())
	if err != nil {
		return stream.Send(&wire.CachePart{Missing: true})
	}
	defer body.Close()
	buf := make([]byte, cachePart)
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

// moveCache brings a session's KV cache from the endpoint that ran it before.
// Whatever goes wrong, the request runs: without the cache it only takes longer.
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
		e.node.Log().Debug("Session's cache was not moved", "session", head.GetSession(), "from", from, "error", err)
	}
	e.node.Metrics().GetOrCreateCounter(fmt.Sprintf("parsleydeal_cache_moves_total{result=%q}", result)).Inc()
}

func (e *Endpoint) fetchCache(ctx context.Context, head *wire.RunHead, from string) (err error) {
	vm, ok := e.node.View().Members().Find(from)
	if !ok {
		return errNoCache
	}
	ctx, cancel := context.WithTimeout(ctx, cacheWait.Duration())
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
	parts := &partReader{recv: stream.Recv, rest: first.GetData(), last: first.GetLast()}
	return e.engine.Import(ctx, head.GetSession(), head.GetVersion(), parts)
}

// partReader reads a cache from its parts. It ends with io.EOF only after the
// last part: an engine must not take half a cache for a whole one.
type partReader struct {
	recv func() (*wire.CachePart, error)
	rest []byte
	last bool
	read int
}

func (p *partReader) Read(buf []byte) (n int, err error) {
	for len(p.rest) == 0 {
		if p.last {
			return 0, io.EOF
		}
		part, err := p.recv()
		if err != nil {
			return 0, errorx.Decorate(err, "cache broke off after %d bytes", p.read)
		}
		p.rest, p.last = part.GetData(), part.GetLast()
	}
	n = copy(buf, p.rest)
	p.rest = p.rest[n:]
	p.read += n
	if p.read > maxCache {
		return n, errCacheLarge
	}
	return n, nil
}
