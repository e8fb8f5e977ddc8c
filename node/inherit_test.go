package node

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// A process that does not take over the request counts of a stopping entry, here because it has no
// handler, must decline without an error. Otherwise errors would be logged when all entries of a
// site stop together and none takes over.
func TestInheritWithoutHandlerDeclines(t *testing.T) {
	is := is.New(t)
	n := &Node{}
	r, err := n.Inherit(context.Background(), &wire.InheritRequest{})
	is.NoErr(err)
	is.True(r.GetDeclined())
}
