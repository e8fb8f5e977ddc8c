package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against events that are taken out of order, and against sound ones that are not taken. Bars stand between answers,
// a dash for an event without an ID and a colon for a comment.
func TestEventsAreTakenInOrderOnly(t *testing.T) {
	for _, x := range []struct {
		after, ids string
		want       error
	}{
		{ids: "1 2 3 | 4 5"},
		{ids: "1 2 : | : 3"},
		{ids: "4 8 | 12"},
		{ids: "0 1 | 2"},
		{ids: "1 2 5 | 9"},
		{ids: "- - -"},
		{ids: "1 - 3 | 4"},
		{after: "7", ids: "8 9 | 10"},
		{after: "7", ids: "9"},
		{ids: "1 2 | 1", want: errRepeatedEvent},
		{ids: "1 2 | 2", want: errRepeatedEvent},
		{ids: "1 2 2", want: errRepeatedEvent},
		{ids: "1 2 - 2", want: errRepeatedEvent},
		{after: "7", ids: "7", want: errRepeatedEvent},
		{ids: "1 | 3", want: errMissingEvent},
		{ids: "5 6 | 8", want: errMissingEvent},
		{after: "7", ids: "8 | 10", want: errMissingEvent},
		{ids: "1 2 | -", want: errUnnumberedEvent},
		{ids: "1 2 | : x", want: errUnnumberedEvent},
		{after: "7", ids: "-", want: errUnnumberedEvent},
	} {
		t.Run(x.after+">"+x.ids, func(t *testing.T) {
			p := positionAfter(x.after)
			p.join()
			var got error
			for id := range strings.SplitSeq(x.ids, " ") {
				e := event{id: id, data: true}
				switch id {
				case "|":
					p.join()
					continue
				case ":":
					e = event{}
				case "-":
					e.id = ""
				}
				if got = p.advance(e); got != nil {
					break
				}
			}
			is.New(t).Equal(got, x.want)
		})
	}
}
