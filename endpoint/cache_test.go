package endpoint

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

func partsOf(parts ...*wire.CachePart) *partReader {
	return &partReader{recv: func() (*wire.CachePart, error) {
		if len(parts) == 0 {
			return nil, errors.New("connection lost")
		}
		next := parts[0]
		parts = parts[1:]
		return next, nil
	}}
}

// The endpoint that exports a cache becomes unreachable in the middle of the transfer. If the
// reader returned io.EOF, the engine would accept the truncated cache as complete and answer
// from it.
func TestTruncatedCacheIsAnError(t *testing.T) {
	is := is.New(t)
	complete, err := io.ReadAll(partsOf(&wire.CachePart{Data: []byte("ab")}, &wire.CachePart{}, &wire.CachePart{Data: []byte("c"), Last: true}))
	is.NoErr(err)
	is.Equal(string(complete), "abc")
	_, err = io.ReadAll(partsOf(&wire.CachePart{Data: []byte("ab")}))
	is.True(err != nil)
	big := partsOf(&wire.CachePart{Data: []byte("ab"), Last: true})
	big.read = maxCacheBytes
	_, err = io.ReadAll(big)
	is.Equal(err, errCacheLarge)
}
