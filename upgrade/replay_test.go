package upgrade

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
)

// replay is a recorded upgrade: the latency samples of all entries, and its expected phase at the
// time endsAt.
type replay struct {
	phase   string
	endsAt  clock.Millis
	samples []replaySample
}

type replaySample struct {
	at     clock.Millis
	entry  string
	bucket LatencyBucket
}

func readReplay(t *testing.T, path string) (r replay) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		switch {
		case fields[0] == "#":
		case fields[0] == "expect":
			r.phase, r.endsAt = fields[1], clock.Millis(number(t, fields[2]))
		default:
			k := LatencyKey{Model: fields[3], Shared: true, Class: LoadClass(number(t, fields[4]))}
			r.samples = append(r.samples, replaySample{
				clock.Millis(number(t, fields[0])), fields[1],
				LatencyBucket{LatencyKey: k, Target: fields[2] == "new", Index: BucketIndex(float64(number(t, fields[5])))},
			})
		}
	}
	return r
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Replays recorded upgrades. Guards against bad versions that are found too late and good ones that
// are rolled back.
func TestRecordedUpgrades(t *testing.T) {
	paths, _ := filepath.Glob("testdata/*-version")
	if len(paths) == 0 {
		t.Fatal("no recorded upgrades")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			r := readReplay(t, path)
			u := New(Order{Service: "s", Target: "v2", Duration: 20 * clock.Second}, 0)
			totals := make(map[string]Latencies)
			for _, x := range r.samples {
				if totals[x.entry] == nil {
					totals[x.entry] = make(Latencies)
				}
				totals[x.entry][x.bucket]++
				u.AddLatencies(x.entry, totals[x.entry], 0.08)
				if u.Judge(x.at, 1) {
					break
				}
			}
			u.Judge(r.endsAt, 1)
			t.Logf("%s: %s after %+v", u.Phase(), u.Reason(), u.Total())
			if u.Phase().String() != r.phase {
				t.Errorf("%s, expected %s", u.Phase(), r.phase)
			}
		})
	}
}
