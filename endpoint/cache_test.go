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

// A session's old endpoint is lost in the middle of handing its cache over. Had
// the reader ended there as at an end, the engine would take half a cache for a
// whole one and answer from it.
func TestTruncatedCacheIsAnError(t *testing.T) {
	is := is.New(t)
	whole, err := io.ReadAll(partsOf(&wire.CachePart{Data: []byte("ab")}, &wire.CachePart{}, &wire.CachePart{Data: []byte("c"), Last: true}))
	is.NoErr(err)
	is.Equal(string(whole), "abc")
	_, err = io.ReadAll(partsOf(&wire.CachePart{Data: []byte("ab")}))
	is.True(err != nil)
	big := partsOf(&wire.CachePart{Data: []byte("ab"), Last: true})
	big.read = maxCache
	_, err = io.ReadAll(big)
	is.Equal(err, errCacheLarge)
}
