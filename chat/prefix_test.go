package chat

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func conversation(contents ...string) *Request {
	r := &Request{}
	for _, c := range contents {
		r.Messages = append(r.Messages, Message{Role: "user", Content: []byte(`"` + c + `"`)})
	}
	return r
}

// All callers send the same short question. If it were treated as a shared prefix, all requests
// would go to the endpoint that answered it first, and idle or newly started endpoints would get
// none.
func TestShortPrefixHasNoHash(t *testing.T) {
	is := is.New(t)
	is.Equal(conversation("When is the renewal due?").PrefixHash(), uint64(0))
	long := strings.Repeat("case history ", 100)
	first, second := conversation(long, "a"), conversation(long, "b")
	is.True(first.PrefixHash() != 0)
	is.Equal(first.PrefixHash(), second.PrefixHash()) // the last message is not hashed
	is.True(first.PrefixHash() != conversation(long+"x", "a").PrefixHash())
}
