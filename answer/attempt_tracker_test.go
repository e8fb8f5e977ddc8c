package answer

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/refusal"
	"pgregory.net/rapid"
)

// A caller gets "not-run" and retries with its key. If the delayed first attempt arrived then and
// ran, the caller would be charged twice. For any order of events and any bound of the tracker, an
// attempt that was reported as not run never runs, and none runs twice.
func TestAttemptReportedNotRunNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewAttemptTracker(rapid.IntRange(1, 4).Draw(t, "bound"))
		const attempts = 12
		reportedNotRun := make(map[Attempt]bool)
		ran := make(map[Attempt]int)
		admitted := make(map[Attempt]bool)
		draw := func(t *rapid.T) (Attempt, Claim) {
			n := rapid.IntRange(1, attempts).Draw(t, "attempt")
			streams := []string{"claims-0", "claims-1"}
			return Attempt{Request: "r", Number: uint32(n)}, Claim{Stream: streams[n%2], Offset: int64(n)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				a, c := draw(t)
				run, ok := tracker.Arrive(a, c)
				if ok {
					admitted[a] = true
				} else if run == refusal.NotRun {
					reportedNotRun[a] = true
				}
			},
			"dispatch": func(t *rapid.T) {
				a, _ := draw(t)
				if admitted[a] && tracker.Dispatch(a) {
					ran[a]++
				}
			},
			"end": func(t *rapid.T) {
				a, _ := draw(t)
				if !admitted[a] {
					t.Skip()
				}
				delete(admitted, a)
				reportedNotRun[a] = reportedNotRun[a] || ran[a] == 0
				tracker.End(a)
			},
			"refuse": func(t *rapid.T) {
				a, c := draw(t)
				if run, _ := tracker.Revoke(a, c); run == refusal.NotRun {
					reportedNotRun[a] = true
				}
			},
			"": func(t *rapid.T) {
				for a, n := range ran {
					if n > 1 {
						t.Fatalf("attempt %v ran %d times", a, n)
					}
					if reportedNotRun[a] {
						t.Fatalf("attempt %v was reported as not run, but ran", a)
					}
				}
			},
		})
	})
}

// BenchmarkAttemptTracker measures the time and memory per tracked attempt.
func BenchmarkAttemptTracker(b *testing.B) {
	tracker := NewAttemptTracker(16384)
	b.ReportAllocs()
	for i := range b.N {
		a := Attempt{Request: fmt.Sprintf("request-%026d", i), Number: 1}
		tracker.Arrive(a, Claim{Stream: "claims-1", Offset: int64(i)})
		tracker.Dispatch(a)
		tracker.End(a)
	}
}
