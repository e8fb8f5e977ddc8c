package node

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// When all entries of a site stop together, no process takes over their counts. That is not an
// error and must not be logged as one.
func TestInheritWithoutHandlerDeclines(t *testing.T) {
	is := is.New(t)
	n := &Node{}
	r, err := n.Inherit(context.Background(), &wire.InheritRequest{})
	is.NoErr(err)
	is.True(r.GetDeclined())
}
