package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sessionBody = `{"model":"quick","stream":true,"messages":[{"role":"user","content":"When is the renewal due?"}]}`

const movingPool = "id=%q\nauthor=\"test\"\nkind=\"patch\"\nbase=%d\n[tables.pools.small]\nversions=[\"small@1\"]\ncold-window=8\nfull-window=64\nresumes=true\nmoves-cache=true\n%s"

// Operators take the zone of a session's endpoint out. The session goes on with
// its version in another zone, and its KV cache goes along: without it the engine
// would read the whole case history again, and the caller would wait as for a new
// session. When the old endpoint is gone the session still goes on.
func TestMovedSessionImportsItsCache(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 2, zones: 2, first: 200, gap: 1, tokens: 5}
	c := newCluster(t, s)
	c.publish(fmt.Sprintf(movingPool, "moves", 0, ""))
	c.waitRevision(1)
	token := ""
	ask := func() (home string, span time.Duration) {
		h := http.Header{}
		if token != "" {
			h.Set("Parsleydeal-Session", token)
		}
		before := map[string]int{}
		for id, e := range c.engines {
			before[id] = e.Started()
		}
		begin := time.Now()
		status, header, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", sessionBody, h)
		span = time.Since(begin)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get("Parsleydeal-Version"), "small@1")
		token = header.Get("Parsleydeal-Session")
		for id, e := range c.engines {
			if e.Started() > before[id] {
				home = id
			}
		}
		return home, span
	}
	home, first := ask()
	again, cached := ask()
	is.Equal(again, home)
	zoneOf := map[string]string{"endpoint-0": "zone-a", "endpoint-1": "zone-b"}
	c.publish(fmt.Sprintf(movingPool, "out", 1, "[tables.zones."+zoneOf[home]+"]\nstate=\"out\"\n"))
	c.waitRevision(2)
	moved, span := ask()
	is.True(moved != home)
	is.Equal(c.engines[moved].Imports(), 1)
	t.Logf("new session %v, cached %v, moved with its cache %v", first, cached, span)

	c.publish(fmt.Sprintf(movingPool, "back", 2, "[tables.zones."+zoneOf[home]+"]\nstate=\"in\"\n[tables.zones."+zoneOf[moved]+"]\nstate=\"out\"\n"))
	c.waitRevision(3)
	for _, p := range c.endpoints {
		if p.vm.ID == moved {
			p.kill()
		}
	}
	back, _ := ask()
	is.Equal(back, home)
	is.Equal(c.engines[home].Imports(), 0)
}
