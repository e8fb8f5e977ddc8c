package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// The store fails all entries of a site, or one entry has just started. Guards against entries that all
// pass everything on to all others, or all act where only one may.
func TestFewEntriesSpread(t *testing.T) {
	for _, storeAge := range []clock.Millis{0, 5 * clock.Second} {
		t.Run(fmt.Sprint(storeAge), func(t *testing.T) {
			is := is.New(t)
			const entries = 30
			addresses := make(map[string]string)
			for i := range entries {
				addresses[fmt.Sprintf("entry-%02d", i)] = fmt.Sprint("10.0.0.", i, ":1")
			}
			spreading, first := 0, 0
			for i := range entries {
				s := NewState(Self{Name: fmt.Sprintf("entry-%02d", i), Zone: fmt.Sprint(i % 3)}, 0)
				now := 2 * peerTimeout
				Reduce(s, EntriesRead{Now: now, Addresses: addresses})
				for j := range entries {
					if j != i {
						name := fmt.Sprintf("entry-%02d", j)
						Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Process: name, Name: name, Zone: fmt.Sprint(j % 3), Address: addresses[name], StoreAgeMillis: int64(storeAge)}})
					}
				}
				s.loaded[EndpointStream], s.loaded[StatusStream] = true, true
				v := s.View()
				if v.Spreads() {
					spreading++
					is.Equal(len(v.Audience()), entries-1)
				} else {
					is.Equal(len(v.Audience()), spreaderCount)
				}
				if v.spreaderRank == 0 {
					first++
				}
			}
			is.Equal(spreading, spreaderCount)
			is.Equal(first, 1)
		})
	}
	is := is.New(t)
	s := NewState(Self{Name: "a", Zone: "z"}, 0)
	Reduce(s, EntriesRead{Now: 1, Addresses: map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"}})
	is.True(!s.View().Spreads())
}
