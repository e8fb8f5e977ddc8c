package relay

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// An entry drops answers of a small model before their events arrive, to use a larger model
// instead. The failure was that most answers of a slow version were dropped, and its upgrade was
// completed on the evidence of the few answers whose gaps between events had been measured.
func TestDroppedAnswersAreGradedByFirstByteDelay(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming}
	x := &exchange{route: route}
	a := &attempt{exchange: x, plan: plan{models: []string{"small", "large"}}, timeToFirstByte: 300, expectedFirstByte: 160, outstanding: 2}
	k, sample, ok := a.latencySample()
	is.True(ok)
	is.Equal(k, upgrade.LatencyKey{Route: "r", Model: "small", Shared: true, Delay: true, Class: 1})
	is.Equal(sample, 140.0)

	a.timeToFirstByte = 0
	_, _, ok = a.latencySample()
	is.True(!ok) // no first byte arrived
}
