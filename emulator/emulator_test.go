package emulator

import (
	"math/rand/v2"
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

// scenario is the content of a file in testdata. It describes a load under which requests were
// once handled badly, and bounds that the result must stay within.
type scenario struct {
	Description string `toml:"story"`
	// Strategies holds the strategies to use instead of the defaults.
	Strategies map[string]string `toml:"ways"`
	Site       Site              `toml:"site"`
	Load       Load              `toml:"load"`
	Bounds     struct {
		// Late is the maximum fraction of late answers and Refused that of refused requests.
		// InZone is the minimum fraction of prompts sent to an endpoint in the zone of their
		// entry.
		Late    float64 `toml:"late"`
		Refused float64 `toml:"refused"`
		InZone  float64 `toml:"in-zone"`
		// Poor is the maximum fraction of poor answers; 0 means no check.
		Poor float64 `toml:"poor"`
		// Repeated is the maximum fraction of prefilled tokens that some endpoint had prefilled
		// before; 0 means no check.
		Repeated float64 `toml:"again"`
	} `toml:"bounds"`
}

// TestScenariosStayWithinBounds simulates the loads in testdata. Each file describes the failure
// it guards against.
func TestScenariosStayWithinBounds(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			s := readScenario(t, file)
			strategies, err := decision.Choose(s.Strategies)
			is.NoErr(err)
			result, err := Run(s.Site, s.Load, strategies)
			is.NoErr(err)
			t.Logf("%+v", result)
			is.True(float64(result.Late) <= s.Bounds.Late*float64(result.InTime+result.Late))
			is.True(float64(result.Refused) <= s.Bounds.Refused*float64(result.Requests))
			is.True(float64(result.InZone) >= s.Bounds.InZone*float64(result.Sent))
			is.True(s.Bounds.Repeated == 0 || float64(result.RepeatedTokens) <= s.Bounds.Repeated*float64(result.PrefillTokens))
			is.True(s.Bounds.Poor == 0 || float64(result.Poor) <= s.Bounds.Poor*float64(result.InTime+result.Late))
			is.Equal(result.InTime+result.Late+result.Refused, result.Requests) // every request has an outcome
			is.Equal(result.OverRate, 0)
			is.True(result.CrashingLate <= maxCrashingLate)
			is.Equal(result.Crashes > 0, len(s.Load.Crashes) > 0)
			is.True(result.MostCrashes <= maxCrashesByOne)
			is.Equal(result.SentAfterLeft, 0)
			is.Equal(result.Left > 0, s.Load.Leaving.Fraction > 0)
			is.True(result.Silent <= len(s.Load.Severings)*s.Site.Zones*s.Site.Zones*s.Site.Entries*s.Site.Endpoints) // one for each entry and endpoint
		})
	}
}

// maxCrashingLate is how many requests with a block on which endpoints crash may arrive when all entries
// must know it.
const maxCrashingLate = 3

// maxCrashesByOne is the number of endpoints after which a request must not reach another one.
const maxCrashesByOne = 3

// Requests with a block crash endpoints at rates and on sites that are drawn. Guards against thresholds
// that hold for one load only.
func TestDrawnCrashes(t *testing.T) {
	is := is.New(t)
	s := readScenario(t, "testdata/crash-block.toml")
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, seed))
		s.Load.Seed = seed
		s.Site.Zones, s.Site.Entries, s.Site.Endpoints = 1+random.IntN(3), 1+random.IntN(4), 4+random.IntN(6)
		s.Load.Crashes[0].PerSecond = 0.5 + 20*random.Float64()*random.Float64()
		result, err := Run(s.Site, s.Load, decision.Strategies{})
		is.NoErr(err)
		t.Logf("%d zones, %d entries, %d endpoints, %.1f a second: %+v", s.Site.Zones, s.Site.Entries, s.Site.Endpoints, s.Load.Crashes[0].PerSecond, result)
		again, err := Run(s.Site, s.Load, decision.Strategies{})
		is.NoErr(err)
		is.Equal(again, result)
		is.True(result.CrashingLate <= maxCrashingLate)
		is.True(result.Refused*20 <= result.Requests)
		is.Equal(result.InTime+result.Late+result.Refused, result.Requests)
	}
}

func readScenario(t *testing.T, file string) (s scenario) {
	t.Helper()
	is := is.New(t)
	f, err := os.Open(file)
	is.NoErr(err)
	defer f.Close()
	is.NoErr(toml.NewDecoder(f).DisallowUnknownFields().Decode(&s))
	return s
}

// Guards against results that differ between runs of the same simulation: the effect of a change
// could not be distinguished from noise.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	s := readScenario(t, "testdata/six-zones.toml")
	s.Load.Seconds = 3
	a, err := Run(s.Site, s.Load, decision.Strategies{})
	is.NoErr(err)
	b, err := Run(s.Site, s.Load, decision.Strategies{})
	is.NoErr(err)
	is.Equal(a, b)
	s.Load.Seed++
	c, err := Run(s.Site, s.Load, decision.Strategies{})
	is.NoErr(err)
	is.True(a != c)
}

// An invalid site or load must not be simulated, and the error must name the faulty value.
func TestInvalidSiteOrLoadIsRejected(t *testing.T) {
	for faulty, change := range map[string]func(s *scenario){
		"endpoints":  func(s *scenario) { s.Site.Endpoints = 0 },
		"slots":      func(s *scenario) { s.Site.Slots = 0 },
		"models":     func(s *scenario) { s.Site.Models = nil },
		"per-second": func(s *scenario) { s.Load.PerSecond = -1 },
		"draft":      func(s *scenario) { s.Load.Kinds[0].TargetMillis = 0 },
		"summary":    func(s *scenario) { s.Load.Kinds[1].HardFraction = 1.5 },
	} {
		t.Run(faulty, func(t *testing.T) {
			is := is.New(t)
			s := readScenario(t, "testdata/six-zones.toml")
			change(&s)
			result, err := Run(s.Site, s.Load, decision.Strategies{})
			is.True(errorx.IsOfType(err, ErrSite))
			is.True(strings.Contains(err.Error(), faulty))
			is.Equal(result, Result{}) // nothing was run
		})
	}
}

// Checks with random prompts that an endpoint prefills one prompt after another, never streams more
// answers than it has slots, and does not prefill cached tokens.
func TestEndpointStaysWithinItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Site{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), CacheTokens: 1000}
		m := Model{Name: "m", TokenMillis: 0.1, OverheadMillis: 5, EventMillis: 10}
		e := newEndpoint(s, "i", 0, nil)
		now, lastFirstByte := clock.Millis(0), clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "pause"))
			blocks := []placement.Block{{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "block"), Tokens: 300}}
			cached := e.lastUsed["m/"+blocks[0].ID] > 0
			first, end, uncached := e.start(now, m, blocks, 5)
			if first < lastFirstByte || end < first || cached && uncached > 0 {
				t.Fatalf("first byte at %d after %d, end %d, %d uncached tokens", first, lastFirstByte, end, uncached)
			}
			lastFirstByte = first
			running := 0
			for _, at := range e.answerEnds {
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

// Entries return after a pause, and most callers have left. Guards against callers that stay and are late because of those
// that left.
func TestCallersThatLeftCostOthersNothing(t *testing.T) {
	is := is.New(t)
	s := readScenario(t, "testdata/return.toml")
	asked, err := Run(s.Site, s.Load, decision.Strategies{})
	is.NoErr(err)
	s.Load.LeftUnnoticed = true
	unasked, err := Run(s.Site, s.Load, decision.Strategies{})
	is.NoErr(err)
	t.Logf("asked: %+v", asked)
	t.Logf("not asked: %+v", unasked)
	is.True(unasked.SentAfterLeft > 0)
	is.True(asked.Late <= unasked.Late)
}
