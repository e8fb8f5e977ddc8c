package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const resumedStream = 8 << 32

// resumedStatuses are the statuses of answers that do not continue a stream; 200 is that of a plain body.
var resumedStatuses = []int{http.StatusOK, http.StatusAccepted, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestTimeout, http.StatusRequestedRangeNotSatisfiable, http.StatusTooManyRequests}

// maybeRefuseResumed sometimes has an endpoint answer resumed streams with something else, while another one breaks its
// streams.
func (k *soak) maybeRefuseResumed() {
	if k.resumed.IntN(severRarity) > 0 {
		return
	}
	pool := k.poolEndpoints()
	k.resumed.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	refuses, breaks, status := pool[0], pool[len(pool)-1], resumedStatuses[k.resumed.IntN(len(resumedStatuses))]
	d, ratio := time.Duration(k.resumed.IntN(2000))*time.Millisecond, k.resumed.Float64()
	k.logFault("%s: answers resumed streams with %d, %s: breaks %.0f%% of its streams for %s", refuses.name, status, breaks.name, 100*ratio, d)
	k.injectFor(d, func() {
		refuses.refuseResumed(status)
		breaks.setFault(func() standin.Reply {
			if rand.Float64() < ratio {
				return standin.Reply{BreakAfter: 3}
			}
			return standin.Reply{BreakAfter: -1}
		})
	}, func() {
		refuses.refuseResumed(0)
		breaks.setFault(nil)
	})
}
