package node

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// All entries of a site stop together. That nobody takes over what they counted is no failure,
// and must not look like one in their logs.
func TestInheritWithoutHandlerDeclines(t *testing.T) {
	is := is.New(t)
	n := &Node{}
	r, err := n.Inherit(context.Background(), &wire.InheritRequest{})
	is.NoErr(err)
	is.True(r.GetDeclined())
}
