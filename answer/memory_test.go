package answer

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/refusal"
	"pgregory.net/rapid"
)

// A caller is told "not run" and calls again with its key; then the first
// attempt arrives after all, delayed on its way, and a renewal fee is charged
// twice. Whatever comes in whatever order, with however little memory: an attempt
// that was said not to have run never runs, and none runs twice.
func TestAttemptReportedNotRunNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewAttemptTracker(rapid.IntRange(1, 4).Draw(t, "bound"))
		const attempts = 12
		said := make(map[Attempt]bool)
		ran := make(map[Attempt]int)
		under := make(map[Attempt]bool)
		draw := func(t *rapid.T) (Attempt, Claim) {
			n := rapid.IntRange(1, attempts).Draw(t, "attempt")
			streams := []string{"claims-0", "claims-1"}
			return Attempt{Request: "r", Number: uint32(n)}, Claim{Stream: streams[n%2], Offset: int64(n)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				a, c := draw(t)
				run, ok := m.Arrive(a, c)
				if ok {
					under[a] = true
				} else if run == refusal.NotRun {
					said[a] = true
				}
			},
			"dispatch": func(t *rapid.T) {
				a, _ := draw(t)
				if under[a] && m.Dispatch(a) {
					ran[a]++
				}
			},
			"end": func(t *rapid.T) {
				a, _ := draw(t)
				if !under[a] {
					t.Skip()
				}
				delete(under, a)
				said[a] = said[a] || ran[a] == 0
				m.End(a)
			},
			"refuse": func(t *rapid.T) {
				a, c := draw(t)
				if run, _ := m.Revoke(a, c); run == refusal.NotRun {
					said[a] = true
				}
			},
			"": func(t *rapid.T) {
				for a, n := range ran {
					if n > 1 {
						t.Fatalf("attempt %v ran %d times", a, n)
					}
					if said[a] {
						t.Fatalf("attempt %v was said not to have run, and ran", a)
					}
				}
			},
		})
	})
}

// BenchmarkAttemptTracker measures the time and bytes that a remembered attempt takes.
func BenchmarkAttemptTracker(b *testing.B) {
	m := NewAttemptTracker(16384)
	b.ReportAllocs()
	for i := range b.N {
		a := Attempt{Request: fmt.Sprintf("request-%026d", i), Number: 1}
		m.Arrive(a, Claim{Stream: "claims-1", Offset: int64(i)})
		m.Dispatch(a)
		m.End(a)
	}
}
