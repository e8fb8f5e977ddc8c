package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// endingStream is the stream of random numbers for how endpoints end their streams.
	endingStream = 9 << 32
	// oldCallers is the number of streams for each that is requested with another protocol than HTTP/1.1 with keep-alive.
	oldCallers = 4
)

// drawEnding draws how an endpoint frames, begins and ends its streams. One without a frame ends early only with its
// endpoint: otherwise the endpoint itself says that it is whole.
func drawEnding(rng *rand.Rand) (a standin.Ending) {
	draw := func(of ...string) string { return of[rng.IntN(len(of))] }
	a = standin.Ending{
		Framing: draw("chunks", "length", "none"), ClosesConnection: rng.IntN(2) == 0, Start: draw("", "from-start", "overlap", "gap"),
		At: draw("", "in-head", "after-head", "in-event", "between"), Sent: rng.IntN(streamEvents), End: draw("fin", "reset"),
	}
	switch {
	case a.At == "":
		a.End = ""
	case a.Framing == "none":
		a.End, a.Crashes = "fin", true
	}
	return a
}

// maybeEndStreams sometimes has an endpoint end its streams, or go on with those of others, in another way.
func (k *soak) maybeEndStreams() {
	if k.endings.IntN(severRarity) > 0 {
		return
	}
	pool := k.poolEndpoints()
	e, ending := pool[k.endings.IntN(len(pool))], drawEnding(k.endings)
	d := time.Duration(k.endings.IntN(1500)) * time.Millisecond
	k.logFault("%s: streams are %+v for %s", e.name, ending, d)
	k.injectFor(d, func() {
		e.setFault(func() standin.Reply { return standin.Reply{BreakAfter: -1, Ending: &ending} })
	}, func() { e.setFault(nil) })
}

// poolEndpoints returns the endpoints that answer with streams.
func (k *soak) poolEndpoints() (pool []*endpoint) {
	for _, e := range k.allEndpoints() {
		if e.service == "pool" {
			pool = append(pool, e)
		}
	}
	return pool
}

// sendStream requests a stream with another protocol than HTTP/1.1 with keep-alive.
func (k *soak) sendStream(p *process, key, id string, i int) (out sent) {
	out = sent{id: id, kind: "chat", key: key, entry: p, at: time.Now()}
	p.mu.Lock()
	out.undisturbed = time.Since(p.undisturbedSince)
	p.mu.Unlock()
	body := "body of " + contentOf(id)
	h := k.headers("chat", key, id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	protocol := standin.Protocols[1+i%(len(standin.Protocols)-1)]
	out.status, out.body, out.err = standin.Fetch(strings.TrimPrefix(p.base, "http://"), protocol, http.MethodPost, "/chat/x", h, body)
	return out
}
