package endpoint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/standin"
)

// Callers disconnect at any stage of their requests, and engines abort answers. If each such
// request leaked a slot or a goroutine, the endpoint would be unusable within hours.
func TestNoSlotOrGoroutineLeaks(t *testing.T) {
	r := newRig(t, 4)
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 2\nfull-window = 8\nqueue = 4\nqueue-wait = \"5ms\"\n")
	r.is.NoErr(r.run(t.Context(), r.head("first"), chatBody).err)
	before := runtime.NumGoroutine()
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 10 {
		r.engine.SetFaults(standin.EngineFaults{BreakAfter: rng.IntN(3)})
		var wg sync.WaitGroup
		for i := range 20 {
			head := r.head(fmt.Sprintf("%d-%d", round, i))
			if rng.IntN(3) == 0 {
				head.IdempotencyKey = head.GetRequest()
			}
			timeout := time.Duration(rng.IntN(20)) * time.Millisecond
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				r.run(ctx, head, chatBody)
			})
		}
		wg.Wait()
	}
	r.waitUntilIdle()
	r.is.NoErr(r.peers.Close())
	r.e.plain.CloseIdleConnections()
	r.eventually("goroutines ended", func() bool { return runtime.NumGoroutine() <= before })
	r.is.Equal(len(r.e.busy.versions()), 0)
	r.is.Equal(r.e.gate.Load().Waiting, 0)
}
