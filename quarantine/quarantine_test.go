package quarantine

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
)

// script is a history of two entries, as read from a file in testdata. Each file describes the failure
// that it guards against.
type script struct {
	Step []step `toml:"step"`
}

// step is what happens at a time at one entry, "a" or "b".
type step struct {
	At    clock.Millis `toml:"at"`
	Entry string       `toml:"entry"`
	// Begin, Head, Break and End name attempts, Alive and Crash endpoints.
	Begin    string   `toml:"begin"`
	Endpoint string   `toml:"endpoint"`
	Blocks   []string `toml:"blocks"`
	// Request names the content of a request.
	Request string `toml:"request"`
	Whole   bool   `toml:"whole"`
	Head    string `toml:"head"`
	Break   string `toml:"break"`
	End     string `toml:"end"`
	Alive   string `toml:"alive"`
	Crash   string `toml:"crash"`
	// Report passes the entry's report on to the other one.
	Report bool `toml:"report"`
	// Sweep drops what is no longer needed.
	Sweep bool `toml:"sweep"`
	// Admit is the expected finding for a request with Blocks; Trial is set at the entry that tries
	// quarantined blocks. Release ends the test of such a request.
	Admit   string `toml:"admit"`
	Trial   bool   `toml:"trial"`
	Release bool   `toml:"release"`
}

// keys returns the keys of a request with the blocks of the step. Request names its content; without it the
// request has no key of its own.
func (x step) keys() *Keys {
	k := sharedKeys(x.Blocks...)
	if x.Request != "" {
		k.request = func() string { return requestKey([][]byte{[]byte(x.Request)}) }
	}
	return k
}

func sharedKeys(blocks ...string) *Keys { return &Keys{shared: blocks} }

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(file)
	is.NoErr(err)
	var s script
	is.NoErr(toml.Unmarshal(text, &s))
	entries := map[string]*Register{"a": New(), "b": New()}
	attempts := make(map[string]*Attempt)
	for i, x := range s.Step {
		g := entries[x.Entry]
		switch {
		case x.Begin != "":
			attempts[x.Begin] = sent(g, Incarnation{Endpoint: x.Endpoint}, x.keys(), x.Whole, x.At)
		case x.Head != "":
			g.Head(attempts[x.Head], x.At)
		case x.Break != "":
			g.End(attempts[x.Break], true, x.At)
		case x.End != "":
			g.End(attempts[x.End], false, x.At)
		case x.Alive != "":
			g.Alive(Incarnation{Endpoint: x.Alive}, x.At)
		case x.Crash != "":
			g.Crashed(Incarnation{Endpoint: x.Crash}, x.At)
		case x.Report:
			other := map[string]string{"a": "b", "b": "a"}[x.Entry]
			entries[other].Receive(g.Report(Scope{}, x.At), false, x.At)
		case x.Sweep:
			g.Sweep(x.At)
		case x.Admit != "":
			f, _, _ := g.Admit(fmt.Sprint("r-", i), x.keys(), x.Trial, x.At)
			if f.String() != x.Admit {
				t.Errorf("step %d: %s for a request with %s, want %s", i, f, strings.Join(x.Blocks, ","), x.Admit)
			}
			if x.Release {
				g.Release(fmt.Sprint("r-", i), x.keys())
			}
		}
	}
}

// Two long IDs that begin alike must not share a key. Guards against a sound block that is kept out in
// place of another one.
func TestKeysOfDifferentBlocksDiffer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("a", 2*maxKeyBytes)
	is.True(Key(long+"1") != Key(long+"2"))
	is.Equal(len(Key(long)), maxKeyBytes)
	is.Equal(Key("5c1e07a2"), "5c1e07a2")
}

// More blocks than fit come with a crash. Guards against a register that grows with its callers' IDs.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	g := New()
	for i := range 2 * maxSuspects {
		endpoint, at := Incarnation{Endpoint: fmt.Sprint(i)}, clock.Millis(i)*momentTime
		a := sent(g, endpoint, sharedKeys(fmt.Sprint("block-", i)), false, at)
		g.End(a, true, at)
		g.Crashed(endpoint, at)
	}
	suspected, _, _ := g.Counts()
	is.Equal(suspected, maxCrashes)
	is.True(len(g.suspects) <= maxSuspects)
	is.True(len(g.Report(Scope{Verdicts: true}, 1).Crashes) <= maxReportedCrashes)
	is.True(len(g.crashes) <= maxCrashes)
}

// Another block crashed endpoints after the first one. Guards against an entry that starts and learns only
// of the newest crashes.
func TestReportSupportsEachVerdict(t *testing.T) {
	is := is.New(t)
	g, started := New(), New()
	at := clock.Millis(0)
	for _, block := range []string{"first", "second"} {
		for i := range 20 {
			endpoint := Incarnation{Endpoint: fmt.Sprint(block, i)}
			a := sent(g, endpoint, sharedKeys(block), false, at)
			at += 100
			g.End(a, true, at)
			g.Crashed(endpoint, at)
		}
	}
	for range reportRepeats {
		g.Report(Scope{}, at) // what is news is reported in full
	}
	started.Receive(g.Report(Scope{Verdicts: true}, at), false, at)
	is.Equal(started.Quarantined(at), [][]string{{"first"}, {"second"}})
}

// A whole zone of endpoints crashes at once. Guards against an entry that spends its time and its peers'
// on evidence that shows nothing.
func TestMassCrashIsLittleEvidence(t *testing.T) {
	is := is.New(t)
	g := New()
	for i := range 100 {
		endpoint := Incarnation{Endpoint: fmt.Sprint(i)}
		for j := range 10 {
			g.End(sent(g, endpoint, sharedKeys(fmt.Sprint("block-", i, "-", j)), false, 0), true, 100)
		}
		g.Crashed(endpoint, 100)
	}
	is.Equal(len(g.Report(Scope{}, 100).Crashes), maxMomentCrashes)
	is.True(g.Report(Scope{Repeated: true}, 100).Empty())
}

// Endpoints crash for another reason, ten a second, and a sound block is named now and then. Guards against
// a verdict on a block that is only named because so many crash.
func TestFewOfManyCrashesAreNoVerdict(t *testing.T) {
	is := is.New(t)
	g, at := New(), clock.Millis(0)
	for i := range 60 {
		endpoint, block := Incarnation{Endpoint: fmt.Sprint(i)}, fmt.Sprint("block-", i)
		if i%10 == 0 {
			block = "sound"
		}
		a := sent(g, endpoint, sharedKeys(block), false, at)
		at += 100
		g.End(a, true, at)
		g.Crashed(endpoint, at)
	}
	is.Equal(len(g.Quarantined(at)), 0)
}

// The register is full of later crashes when a request notices an early one. Guards against a crash that is
// dropped as the oldest while it is being recorded.
func TestEarlyCrashInFullRegister(t *testing.T) {
	is := is.New(t)
	g, early := New(), Incarnation{Endpoint: "early"}
	g.Crashed(early, 0)
	at := clock.Millis(0)
	for i := range maxCrashes {
		endpoint := Incarnation{Endpoint: fmt.Sprint(i)}
		at += momentTime
		g.End(sent(g, endpoint, sharedKeys(fmt.Sprint("block-", i)), false, at), true, at)
		g.Crashed(endpoint, at)
	}
	g.End(sent(g, early, sharedKeys("late"), false, at), true, at)
	_, ok := g.Crashed(early, at)
	is.True(!ok)
	is.Equal(len(g.crashes), maxCrashes)
}

// More endpoints have crashed than are counted, and then many more do so. Guards against a verdict on a sound
// block because the crashes beside it are no longer counted.
func TestLateCrashesAreCounted(t *testing.T) {
	is := is.New(t)
	g, at := New(), clock.Millis(0)
	for i := range 2 * maxEnds {
		at += 100
		g.Crashed(Incarnation{Endpoint: fmt.Sprint("other-", i)}, at)
		if i > maxEnds && i%10 == 0 {
			endpoint := Incarnation{Endpoint: fmt.Sprint("named-", i)}
			a := sent(g, endpoint, sharedKeys("sound"), false, at)
			at += 100
			g.End(a, true, at)
			g.Crashed(endpoint, at)
		}
	}
	is.Equal(len(g.Quarantined(at)), 0)
	is.True(len(g.ends) <= maxEnds)
}
