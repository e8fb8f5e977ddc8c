package emulator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"
)

// replay is a file of testdata: a load that callers once suffered under, and what they
// may expect of it.
type replay struct {
	Description string `toml:"story"`
	// Strategies are those that the replay is for; the ways in force else.
	Strategies map[string]string `toml:"ways"`
	Site       Site              `toml:"site"`
	Load       Load              `toml:"load"`
	Bounds     struct {
		// Late is the part of the answers that may be late, Refused the part of the
		// requests that may be refused, InZone the least part of prompts in their entry's
		// zone.
		Late    float64 `toml:"late"`
		Refused float64 `toml:"refused"`
		InZone  float64 `toml:"in-zone"`
		// Poor is the part of the answers that may be poor; none is checked at 0.
		Poor float64 `toml:"poor"`
		// Again is the part of the tokens read that some endpoint had read before; none is
		// checked at 0.
		Again float64 `toml:"again"`
	} `toml:"bounds"`
}

// TestScenariosStayWithinBounds plays the loads of testdata; each file tells its story.
func TestScenariosStayWithinBounds(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			x := read(t, file)
			ways, err := decision.Choose(x.Strategies)
			is.NoErr(err)
			r, err := Run(x.Site, x.Load, ways)
			is.NoErr(err)
			t.Logf("%+v", r)
			is.True(float64(r.Late) <= x.Bounds.Late*float64(r.InTime+r.Late))
			is.True(float64(r.Refused) <= x.Bounds.Refused*float64(r.Requests))
			is.True(float64(r.InZone) >= x.Bounds.InZone*float64(r.Sent))
			is.True(x.Bounds.Again == 0 || float64(r.RepeatedTokens) <= x.Bounds.Again*float64(r.PrefillTokens))
			is.True(x.Bounds.Poor == 0 || float64(r.Poor) <= x.Bounds.Poor*float64(r.InTime+r.Late))
			is.Equal(r.InTime+r.Late+r.Refused, r.Requests) // nobody is left without a word
			is.Equal(r.OverRate, 0)
		})
	}
}

func read(t *testing.T, file string) (x replay) {
	t.Helper()
	is := is.New(t)
	f, err := os.Open(file)
	is.NoErr(err)
	defer f.Close()
	is.NoErr(toml.NewDecoder(f).DisallowUnknownFields().Decode(&x))
	return x
}

// A trial is repeated to find out what a change did. Were its figures to differ by
// themselves, they would say nothing.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	x := read(t, "testdata/six-zones.toml")
	x.Load.Seconds = 3
	a, err := Run(x.Site, x.Load, decision.Strategies{})
	is.NoErr(err)
	b, err := Run(x.Site, x.Load, decision.Strategies{})
	is.NoErr(err)
	is.Equal(a, b)
	x.Load.Seed++
	c, err := Run(x.Site, x.Load, decision.Strategies{})
	is.NoErr(err)
	is.True(a != c)
}

// A mistake in a site's file is named before anything is played.
func TestInvalidSiteOrLoadIsRejected(t *testing.T) {
	for names, change := range map[string]func(x *replay){
		"endpoints":  func(x *replay) { x.Site.Endpoints = 0 },
		"slots":      func(x *replay) { x.Site.Slots = 0 },
		"models":     func(x *replay) { x.Site.Models = nil },
		"per-second": func(x *replay) { x.Load.PerSecond = -1 },
		"draft":      func(x *replay) { x.Load.Kinds[0].TargetMillis = 0 },
		"summary":    func(x *replay) { x.Load.Kinds[1].HardFraction = 1.5 },
	} {
		t.Run(names, func(t *testing.T) {
			is := is.New(t)
			x := read(t, "testdata/six-zones.toml")
			change(&x)
			r, err := Run(x.Site, x.Load, decision.Strategies{})
			is.True(errorx.IsOfType(err, ErrSite))
			is.True(strings.Contains(err.Error(), names))
			is.Equal(r, Result{}) // nothing was played
		})
	}
}

// An endpoint reads one prompt after another and never streams more answers than it has
// slots, whatever it is given, and reads no token that it keeps.
func TestEndpointStaysWithinItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Site{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), CacheTokens: 1000}
		m := Model{Name: "m", TokenMillis: 0.1, OverheadMillis: 5, EventMillis: 10}
		e := newEndpoint(s, nil)
		now, readUntil := clock.Millis(0), clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "pause"))
			parts := []placement.Block{{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"), Tokens: 300}}
			known := e.kept["m/"+parts[0].ID] > 0
			first, end, read := e.begin(now, m, parts, 5)
			if first < readUntil || end < first || known && read > 0 {
				t.Fatalf("first byte at %d after %d, end %d, %d tokens read", first, readUntil, end, read)
			}
			readUntil = first
			running := 0
			for _, at := range e.ends {
				if at > float64(first) {
					running++
				}
			}
			if running > s.Slots {
				t.Fatalf("%d answers in %d slots", running, s.Slots)
			}
		}
	})
}
