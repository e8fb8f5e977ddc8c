package placement

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// BenchmarkSelect picks among 48 endpoints of four zones for a prompt of three parts.
func BenchmarkSelect(b *testing.B) {
	s := fleetOf(48, func(i int, e *fleet.Endpoint) { e.Zone = fmt.Sprint("z", i%4) })
	board := NewSelector()
	q := Query{Service: "s", Version: "v1", Zone: "z0", Model: "model-1", FirstByteBudget: 2 * clock.Second, Blocks: []Block{{"c1e07a25", 2500}, {"91bd3f06", 3800}, {"e4402b7d", 2900}}}
	b.ReportAllocs()
	for b.Loop() {
		q.Now++
		e, _ := board.Select(s, q)
		board.Begin(e, q).End()
	}
}
