package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sessionBody = `{"model":"quick","stream":true,"messages":[{"role":"user","content":"When is the renewal due?"}]}`

const movablePoolPatch = "id=%q\nauthor=\"test\"\nkind=\"patch\"\nbase=%d\n[tables.pools.small]\nversions=[\"small@1\"]\ncold-window=8\nfull-window=64\nresumes=true\nmoves-cache=true\n%s"

// Takes the zone of a session's endpoint out of service. The session must continue with its version
// in another zone, and its KV cache must be moved there: otherwise the engine would prefill the
// full history again, and the caller would wait as long as for a new session. The session must also
// continue when the endpoint with its cache is down.
func TestMovedSessionImportsItsCache(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 2, zones: 2, firstTokenDelay: 200, tokenGap: 1, tokenCount: 5}
	c := newCluster(t, s)
	c.publish(fmt.Sprintf(movablePoolPatch, "moves", 0, ""))
	c.waitRevision(1)
	token := ""
	send := func() (endpoint string, elapsed time.Duration) {
		h := http.Header{}
		if token != "" {
			h.Set("Parsleydeal-Session", token)
		}
		before := map[string]int{}
		for id, e := range c.engines {
			before[id] = e.Started()
		}
		start := time.Now()
		status, header, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", sessionBody, h)
		elapsed = time.Since(start)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get("Parsleydeal-Version"), "small@1")
		token = header.Get("Parsleydeal-Session")
		for id, e := range c.engines {
			if e.Started() > before[id] {
				endpoint = id
			}
		}
		return endpoint, elapsed
	}
	original, first := send()
	again, cached := send()
	is.Equal(again, original)
	zoneOf := map[string]string{"endpoint-0": "zone-a", "endpoint-1": "zone-b"}
	c.publish(fmt.Sprintf(movablePoolPatch, "out", 1, "[tables.zones."+zoneOf[original]+"]\nstate=\"out\"\n"))
	c.waitRevision(2)
	moved, movedTime := send()
	is.True(moved != original)
	is.Equal(c.engines[moved].Imports(), 1)
	t.Logf("new session %v, cached %v, moved with its cache %v", first, cached, movedTime)

	c.publish(fmt.Sprintf(movablePoolPatch, "back", 2, "[tables.zones."+zoneOf[original]+"]\nstate=\"in\"\n[tables.zones."+zoneOf[moved]+"]\nstate=\"out\"\n"))
	c.waitRevision(3)
	for _, p := range c.endpoints {
		if p.vm.ID == moved {
			p.kill()
		}
	}
	back, _ := send()
	is.Equal(back, original)
	is.Equal(c.engines[original].Imports(), 0)
}
