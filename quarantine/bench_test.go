package quarantine

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
)

// An event arrives from an endpoint where a hundred requests wait. Its cost must not depend on them.
func BenchmarkAliveBesideWaiting(b *testing.B) {
	g, e := New(), Incarnation{Endpoint: "e"}
	for i := range 100 {
		sent(g, e, NewKeys([]string{fmt.Sprint("block-", i), fmt.Sprint(i)}, nil), false, 0)
	}
	b.ReportAllocs()
	for i := range b.N {
		g.Alive(e, clock.Millis(i)*aliveStep)
	}
}
