package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/limit"
)

const (
	limitDuration    = 60 * clock.Second
	limitSlots       = 50 // requests that the pool's gates accept from this entry at a time
	limitServiceTime = 500 * clock.Millis(1)
	limitTimeout     = 20 * clock.Second
	smallOrgs        = 8
	largeOrgs        = 2
	smallRate        = 5.0   // requests per second of each small organisation
	largeRate        = 120.0 // requests per second of each large organisation
	saturatedFrom    = 10 * clock.Second
	saturatedUntil   = 40 * clock.Second
)

// limitRun simulates one entry that sends to a pool whose gates refuse requests when all their
// slots are taken.
type limitRun struct {
	scheduler
	rng       *rand.Rand
	admission *limit.Admission
	retries   *limit.RetryBudget
	// fifo replaces the fair queue with one shared queue by assigning all requests to the same
	// organisation.
	fifo bool
	// slots is the number of requests that the gates accept at a time; 0 simulates a saturated
	// pool.
	slots        int
	outstanding  int
	waiting      map[string]limitRequest
	arrivedByOrg map[string]int
	servedByOrg  map[string]int
	waitsByOrg   map[string][]clock.Millis
	// tries counts all attempts, and dispatched only the first one of each request.
	tries      int
	dispatched int
	requests   int
}

type limitRequest struct {
	item      limit.Item
	org       string
	arrivedAt clock.Millis
}

func newLimitRun(fifo, budget bool) *limitRun {
	r := &limitRun{
		rng: rand.New(rand.NewPCG(5, 6)), admission: limit.NewAdmission(), fifo: fifo, slots: limitSlots,
		waiting: map[string]limitRequest{}, arrivedByOrg: map[string]int{}, servedByOrg: map[string]int{}, waitsByOrg: map[string][]clock.Millis{},
	}
	if budget {
		r.retries = limit.NewRetryBudget()
	}
	return r
}

// generateRequests makes requests of org arrive at a mean rate per second, with exponentially
// distributed gaps.
func (r *limitRun) generateRequests(org string, rate float64) {
	gap := clock.Millis(r.rng.ExpFloat64() * 1000 / rate)
	r.after(max(gap, 1), func() {
		r.arrive(org)
		r.generateRequests(org, rate)
	})
}

func (r *limitRun) arrive(org string) {
	r.requests++
	r.arrivedByOrg[org]++
	name := org
	if r.fifo {
		name = "all"
	}
	q := limitRequest{
		item: limit.Item{ID: strconv.Itoa(r.requests), Organisation: name, Weight: 1, Deadline: r.now + limitTimeout},
		org:  org, arrivedAt: r.now,
	}
	if r.retries != nil {
		r.retries.RecordRequest()
	}
	v, _, dropped := r.admission.Arrive(r.now, q.item)
	for _, it := range dropped {
		delete(r.waiting, it.ID)
	}
	switch v {
	case limit.Start:
		r.try(q, 0)
	case limit.Wait:
		r.waiting[q.item.ID] = q
	}
}

// try makes an attempt and retries it if it is refused, as the entry does.
func (r *limitRun) try(q limitRequest, attempt int) {
	r.tries++
	if attempt == 0 {
		r.dispatched++
	}
	if r.outstanding < r.slots {
		r.outstanding++
		r.waitsByOrg[q.org] = append(r.waitsByOrg[q.org], r.now-q.arrivedAt)
		r.startWaiting(r.admission.Accepted(r.now))
		r.after(limitServiceTime+clock.Millis(r.rng.IntN(100)), func() {
			r.outstanding--
			r.servedByOrg[q.org]++
			r.release(limit.Served)
		})
		return
	}
	const maxAttempts = 4
	retry := attempt+1 < maxAttempts && (r.retries == nil || r.retries.TryRetry())
	r.after(2, func() {
		if retry {
			r.try(q, attempt+1)
			return
		}
		r.release(limit.Refused)
	})
}

func (r *limitRun) release(o limit.Outcome) {
	r.startWaiting(r.admission.Release(r.now, o))
}

func (r *limitRun) startWaiting(started, expired []limit.Item) {
	for _, it := range expired {
		delete(r.waiting, it.ID)
	}
	for _, it := range started {
		q := r.waiting[it.ID]
		delete(r.waiting, it.ID)
		r.try(q, 0)
	}
}

func (r *limitRun) startLoad() {
	for i := range smallOrgs {
		r.generateRequests("small-"+strconv.Itoa(i), smallRate)
	}
	for i := range largeOrgs {
		r.generateRequests("large-"+strconv.Itoa(i), largeRate)
	}
}

// smallOrgStats returns the ratio of served to arrived requests of the small organisation with the
// lowest ratio, and the 99th percentile of the waiting times of all small organisations' requests.
func (r *limitRun) smallOrgStats() (minServed float64, wait clock.Millis) {
	minServed = 1
	var all []clock.Millis
	for i := range smallOrgs {
		org := "small-" + strconv.Itoa(i)
		minServed = min(minServed, float64(r.servedByOrg[org])/float64(r.arrivedByOrg[org]))
		all = append(all, r.waitsByOrg[org]...)
	}
	return minServed, quantile(all, 0.99)
}

func quantile[T cmp.Ordered](values []T, fraction float64) (v T) {
	if len(values) == 0 {
		return v
	}
	slices.Sort(values)
	return values[int(fraction*float64(len(values)-1))]
}

// benchLimit measures how well small organisations are served while large ones send far more
// requests, and the number of attempts per request while a pool is saturated.
func benchLimit() (out []Figure) {
	for _, fifo := range []bool{false, true} {
		name := map[bool]string{false: "ours", true: "one-line"}[fifo]
		r := newLimitRun(fifo, true)
		r.startLoad()
		r.runUntil(limitDuration)
		minServed, wait := r.smallOrgStats()
		prefix := fmt.Sprintf("limit/share/%s/", name)
		large := r.servedByOrg["large-0"] + r.servedByOrg["large-1"]
		out = append(
			out,
			Figure{prefix + "small-served-min", minServed},
			Figure{prefix + "small-wait-p99-ms-max", float64(wait)},
			Figure{prefix + "large-served-per-s-min", float64(large) / 60},
		)
	}
	for _, budget := range []bool{true, false} {
		name := map[bool]string{true: "ours", false: "no-budget"}[budget]
		r := newLimitRun(false, budget)
		r.startLoad()
		r.runUntil(saturatedFrom)
		r.slots = 0
		dispatched, tries := r.dispatched, r.tries
		r.runUntil(saturatedUntil)
		ratio := float64(r.tries-tries) / float64(r.dispatched-dispatched)
		r.slots = limitSlots
		before := r.totalServed()
		r.runUntil(saturatedUntil + 5*clock.Second)
		prefix := fmt.Sprintf("limit/dry-pool/%s/", name)
		out = append(
			out,
			Figure{prefix + "tries-per-request-max", ratio},
			Figure{prefix + "served-in-5-s-after-min", float64(r.totalServed() - before)},
		)
	}
	return out
}

func (r *limitRun) totalServed() (n int) {
	for _, s := range r.servedByOrg {
		n += s
	}
	return n
}
