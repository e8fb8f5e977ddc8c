package quarantine

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// requestKeys returns the keys of a request with the given content and blocks.
func requestKeys(content string, blocks ...string) *Keys {
	return NewKeys(blocks, func() [][]byte { return [][]byte{[]byte(content)} })
}

// sent records an attempt whose request is sent at once.
func sent(g *Register, i Incarnation, keys *Keys, whole bool, at clock.Millis) *Attempt {
	a := g.Begin(i, keys, whole, at)
	g.Sent(a, at)
	return a
}

// crashUnder has an endpoint crash 70 ms after it has begun to answer requests.
func crashUnder(g *Register, endpoint string, at clock.Millis, all ...*Keys) {
	var attempts []*Attempt
	for _, keys := range all {
		a := sent(g, Incarnation{Endpoint: endpoint}, keys, false, at)
		g.Head(a, at+1)
		attempts = append(attempts, a)
	}
	for _, a := range attempts {
		g.End(a, true, at+70)
	}
	g.Crashed(Incarnation{Endpoint: endpoint}, at+70)
}

// A caller sends one request again and again. Guards against a third endpoint that crashes on it, at this entry or
// another one.
func TestTwoCrashesUnderOneRequestAreEnough(t *testing.T) {
	is := is.New(t)
	g, other := New(), New()
	bad, sound := requestKeys("bad", "shared", "own"), requestKeys("sound", "shared", "own-2")
	crashUnder(g, "i-1", 1000, bad, sound)
	other.Receive(g.Report(Scope{}, 1071), false, 1071)
	f, _, _ := other.Admit("r-1", bad, false, 1072)
	is.Equal(f, Test)
	other.Release("r-1", bad)
	crashUnder(other, "i-2", 1100, bad)
	g.Receive(other.Report(Scope{}, 1171), false, 1171)
	for _, entry := range []*Register{g, other} {
		f, because, _ := entry.Admit("r-2", bad, false, 1172)
		is.Equal(f, Quarantined)
		is.Equal(because, bad.Request())
		f, _, _ = entry.Admit("r-3", sound, false, 1172)
		is.True(f != Quarantined)
	}
}

// A sound request was under way at two endpoints that crashed. Guards against it being kept out although it has been
// answered since.
func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	g, keys := New(), requestKeys("sound", "own")
	crashUnder(g, "i-1", 1000, keys)
	a := sent(g, Incarnation{Endpoint: "i-2"}, keys, false, 1100)
	g.Head(a, 1110)
	g.Alive(Incarnation{Endpoint: "i-2"}, 1400)
	g.Alive(Incarnation{Endpoint: "i-2"}, 1700)
	crashUnder(g, "i-3", 1800, keys)
	f, _, _ := g.Admit("r", keys, false, 1900)
	is.Equal(f, Admitted)
}

// Two endpoints crash while the same many requests are under way there. Guards against all of them being kept out.
func TestRequestsOfTwoMassCrashesAreAdmitted(t *testing.T) {
	is := is.New(t)
	g := New()
	var all []*Keys
	for i := range maxAlike + 1 {
		all = append(all, requestKeys(fmt.Sprint("r-", i), fmt.Sprint("own-", i)))
	}
	crashUnder(g, "i-1", 1000, all...)
	crashUnder(g, "i-2", 1100, all...)
	is.Equal(len(g.Found(1200)), 0)
	for _, keys := range all {
		f, _, _ := g.Admit("r", keys, false, 1200)
		is.True(f != Quarantined)
	}
}

// The same two crashes name requests that are quarantined and one that is less likely. Guards against this one being tested
// beside one of them, at the one endpoint that is left.
func TestLessLikelyRequestWaitsForTestOfTiedOne(t *testing.T) {
	is := is.New(t)
	g, bad, alike, lasting := New(), requestKeys("bad", "own"), requestKeys("alike", "own-2"), requestKeys("lasting", "own-3")
	a := sent(g, Incarnation{Endpoint: "i-1"}, lasting, false, 800)
	g.Head(a, 810)
	g.End(a, true, 1070)
	crashUnder(g, "i-1", 1000, bad, alike)
	crashUnder(g, "i-2", 1100, bad, alike, lasting)
	f, _, _ := g.Admit("r-1", bad, false, 1172)
	is.Equal(f, Quarantined)
	is.Equal(g.AdmitBegun("r-1", bad, 1172), Test)
	f, _, _ = g.Admit("r-3", lasting, false, 1173)
	is.Equal(f, Wait)
	g.Release("r-1", bad)
	f, _, _ = g.Admit("r-3", lasting, false, 1174)
	is.Equal(f, Test)
	is.Equal(g.AdmitBegun("r-1", bad, 1175), Wait)
}

// Two endpoints crash 70 ms after the attempts of one request began. Other requests were long under way at the first one
// and had just moved to the second. Guards against these being refused with the one at fault, or hiding it.
func TestRequestsThatHadLastedAreAdmittedAfterTwoCrashes(t *testing.T) {
	is := is.New(t)
	g, bad := New(), requestKeys("bad", "own")
	var lasting []*Keys
	for i := range maxAlike + 1 {
		keys, at := requestKeys(fmt.Sprint("r-", i), fmt.Sprint("own-", i)), clock.Millis(700+20*i)
		a := sent(g, Incarnation{Endpoint: "i-1"}, keys, false, at)
		g.Head(a, at+10)
		g.End(a, true, 1070)
		lasting = append(lasting, keys)
	}
	crashUnder(g, "i-1", 1000, bad)
	crashUnder(g, "i-2", 1100, append(lasting, bad)...)
	f, because, _ := g.Admit("r", bad, false, 1200)
	is.Equal(f, Quarantined)
	is.Equal(because, bad.Request())
	is.Equal(g.AdmitBegun("r", bad, 1200), Quarantined)
	for _, keys := range lasting {
		f, _, _ = g.Admit("r", keys, false, 1200)
		is.True(f != Quarantined)
		g.Release("r", keys)
	}
}

// One request ends three endpoints and has a block that no other request has. Guards against that block being kept out.
func TestBlockOfOneRequestIsAdmitted(t *testing.T) {
	is := is.New(t)
	g, bad := New(), requestKeys("bad", "rare", "own")
	for i := range crashesToQuarantine {
		crashUnder(g, fmt.Sprint("i-", i), clock.Millis(1000+100*i), bad)
	}
	f, _, _ := g.Admit("r-1", bad, false, 2000)
	is.Equal(f, Quarantined)
	f, _, _ = g.Admit("r-2", requestKeys("sound", "rare", "own-2"), false, 2000)
	is.True(f != Quarantined)
}

// Many requests are answered, each of another content. Guards against a register that grows with its callers, and
// against digests that nobody needs.
func TestNothingIsKeptOfSoundRequests(t *testing.T) {
	is := is.New(t)
	g, digests := New(), 0
	at := clock.Millis(0)
	for i := range 1000 {
		keys := NewKeys([]string{"shared", fmt.Sprint("own-", i)}, func() [][]byte { digests++; return nil })
		f, _, _ := g.Admit("r", keys, false, at)
		is.Equal(f, Admitted)
		a := sent(g, Incarnation{Endpoint: "i-1"}, keys, false, at)
		g.Head(a, at)
		at += 100
		g.Alive(Incarnation{Endpoint: "i-1"}, at)
		if i%10 == 9 {
			g.Sweep(at)
		}
		g.End(a, false, at)
	}
	g.Sweep(at + endedTime)
	is.Equal(digests, 0)
	is.Equal(len(g.suspects), 0)
	is.Equal(len(g.cleared), 1)
	is.True(len(g.endpoints) <= 1)
}

// A crash names a request that its caller never sends again. Guards against a register that fills with such requests.
func TestRequestNamedOnceIsForgotten(t *testing.T) {
	is := is.New(t)
	g := New()
	crashUnder(g, "i-1", 1000, requestKeys("r", "own"))
	g.Sweep(1000 + onceForgetAfter/2)
	is.Equal(g.requests, 1)
	g.Sweep(1100 + onceForgetAfter)
	is.Equal(g.requests, 0)
	is.Equal(len(g.suspects), 0)
}

// The digest of a request with a body of 110 KB.
func BenchmarkRequestKey(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 110<<10)
	b.SetBytes(int64(len(body)))
	for range b.N {
		requestKey([][]byte{body})
	}
}

// A sound request was under way at one of the two endpoints that another one ended, and at a third that crashed for
// another reason. Guards against a verdict on it alone, which would leave the one at fault with a single crash.
func TestRequestAtFaultBesideUnluckyOne(t *testing.T) {
	is := is.New(t)
	for i := range 8 {
		g := New()
		bad, unlucky := requestKeys(fmt.Sprint("bad-", i)), requestKeys(fmt.Sprint("unlucky-", i))
		crashUnder(g, "i-1", 1000, bad, unlucky)
		crashUnder(g, "i-2", 1100, unlucky)
		crashUnder(g, "i-3", 1200, bad)
		f, _, _ := g.Admit("r", bad, false, 1300)
		is.Equal(f, Quarantined)
	}
}

// A sound request and the one at fault were in progress at an endpoint that crashed. Guards against both being sent to the
// same one again, and then being refused alike.
func TestSuspectsOfOneCrashAreKeptApart(t *testing.T) {
	is := is.New(t)
	g := New()
	bad, sound, other := requestKeys("bad", "own"), requestKeys("sound", "own-2"), requestKeys("other", "own-3")
	crashUnder(g, "i-1", 1000, bad, sound)
	is.Equal(len(g.Apart(bad, 1071)), 0)
	a := sent(g, Incarnation{Endpoint: "i-2"}, bad, false, 1072)
	is.Equal(g.Apart(sound, 1073), map[string]bool{"i-2": true})
	is.Equal(len(g.Apart(bad, 1073)), 0)
	is.Equal(len(g.Apart(other, 1073)), 0)
	g.Head(a, 1080)
	is.Equal(g.Apart(sound, 1081), map[string]bool{"i-2": true})
	g.End(a, true, 1150)
	is.Equal(len(g.Apart(sound, 1151)), 0)
}

// The same two crashes name a sound request and the one at fault, and both have been answered in part. Guards against an
// answer that breaks off although nothing tells the two apart, against both being tested at once, at one endpoint, and
// against a fourth one that crashes.
func TestBegunAnswerOfTiedRequestGoesOn(t *testing.T) {
	is := is.New(t)
	g, bad, sound, copied := New(), requestKeys("bad", "own"), requestKeys("sound", "own-2"), requestKeys("bad", "own")
	crashUnder(g, "i-1", 1000, bad, sound)
	crashUnder(g, "i-2", 1100, bad, sound)
	f, _, _ := g.Admit("r-2", sound, false, 1172)
	is.Equal(f, Quarantined)
	is.Equal(g.AdmitBegun("r-2", sound, 1172), Test)
	is.Equal(g.AdmitBegun("r-1", bad, 1173), Wait)
	g.Release("r-2", sound)
	is.Equal(g.AdmitBegun("r-1", bad, 1174), Test)
	is.Equal(g.AdmitBegun("r-3", copied, 1175), Wait)
	is.Equal(g.AdmitBegun("r-2", sound, 1175), Wait)
	crashUnder(g, "i-3", 1200, bad)
	g.Release("r-1", bad)
	is.Equal(g.AdmitBegun("r-3", copied, 1300), Quarantined)
	f, _, _ = g.Admit("r-2", sound, false, 1301)
	is.True(f != Quarantined)
	other := requestKeys("other", "own-3")
	crashUnder(g, "i-4", 5000, other)
	crashUnder(g, "i-5", 5100, other)
	is.Equal(g.AdmitBegun("r-4", other, 5172), Quarantined)
}
