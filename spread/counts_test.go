package spread

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// A relay's VM gets a new process. An entry that has not heard of it yet tells it
// all that it told the former one, whose sums the judges have. Folded again, the
// same errors would count twice.
func TestRelayRefusesCountsForAnEarlierProcess(t *testing.T) {
	is := is.New(t)
	for _, meant := range []uint64{4, 5, 0} {
		state := membership.New("relay")
		relay := NewCounts("relay", 5)
		relay.Reduce(event.DigestReceived{Digest: &wire.Digest{
			Vm: "entry", RelayEpoch: meant, Relayed: []*wire.Count{{Vm: "entry", Epoch: 1, Route: "r", Version: "m@1", Started: 3}},
		}}, nil, state.Members(), nil)
		relay.Reduce(event.Tick{Now: 2 * clock.Second}, nil, state.Members(), nil)
		is.Equal(len(relay.relay.Report()) > 0, meant == 5)
	}
}
