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
	limitSpan     = 60 * clock.Second
	limitPlaces   = 50 // what the gates of the pool take from this entry
	limitService  = 500 * clock.Millis(1)
	limitDeadline = 20 * clock.Second
	smallOrgs     = 8
	largeOrgs     = 2
	smallRate     = 5.0
	largeRate     = 120.0
	dryFrom       = 10 * clock.Second
	dryUntil      = 40 * clock.Second
)

// limitRun is one entry before a pool whose gates refuse what they can't hold.
type limitRun struct {
	agenda
	rng     *rand.Rand
	core    *limit.Admission
	retries *limit.RetryBudget
	// fifo replaces the fair queue by one line for all: every request counts as
	// the same organisation's.
	fifo bool
	// places is what the gates can hold; dry takes it to nothing for a while.
	places  int
	held    int
	waiting map[string]limitRequest
	arrived map[string]int
	served  map[string]int
	waits   map[string][]clock.Millis
	// tries counts attempts, begun the first ones among them.
	tries int
	begun int
	asked int
}

type limitRequest struct {
	item limit.Item
	org  string
	at   clock.Millis
}

func newLimitRun(fifo, budget bool) *limitRun {
	r := &limitRun{
		rng: rand.New(rand.NewPCG(5, 6)), core: limit.NewAdmission(), fifo: fifo, places: limitPlaces,
		waiting: map[string]limitRequest{}, arrived: map[string]int{}, served: map[string]int{}, waits: map[string][]clock.Millis{},
	}
	if budget {
		r.retries = limit.NewRetryBudget()
	}
	return r
}

// source lets requests of an organisation arrive at a rate a second.
func (r *limitRun) source(org string, rate float64) {
	gap := clock.Millis(r.rng.ExpFloat64() * 1000 / rate)
	r.after(max(gap, 1), func() {
		r.arrive(org)
		r.source(org, rate)
	})
}

func (r *limitRun) arrive(org string) {
	r.asked++
	r.arrived[org]++
	name := org
	if r.fifo {
		name = "all"
	}
	q := limitRequest{
		item: limit.Item{ID: strconv.Itoa(r.asked), Organisation: name, Weight: 1, Deadline: r.now + limitDeadline},
		org:  org, at: r.now,
	}
	if r.retries != nil {
		r.retries.RecordRequest()
	}
	v, _, dropped := r.core.Arrive(r.now, q.item)
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

// try is the entry's loop of attempts on a pool.
func (r *limitRun) try(q limitRequest, attempt int) {
	r.tries++
	if attempt == 0 {
		r.begun++
	}
	if r.held < r.places {
		r.held++
		r.waits[q.org] = append(r.waits[q.org], r.now-q.at)
		r.pass(r.core.Accepted(r.now))
		r.after(limitService+clock.Millis(r.rng.IntN(100)), func() {
			r.held--
			r.served[q.org]++
			r.end(limit.Served)
		})
		return
	}
	const attempts = 4
	again := attempt+1 < attempts && (r.retries == nil || r.retries.TryRetry())
	r.after(2, func() {
		if again {
			r.try(q, attempt+1)
			return
		}
		r.end(limit.Refused)
	})
}

func (r *limitRun) end(o limit.Outcome) {
	r.pass(r.core.Release(r.now, o))
}

func (r *limitRun) pass(started, expired []limit.Item) {
	for _, it := range expired {
		delete(r.waiting, it.ID)
	}
	for _, it := range started {
		q := r.waiting[it.ID]
		delete(r.waiting, it.ID)
		r.try(q, 0)
	}
}

func (r *limitRun) load() {
	for i := range smallOrgs {
		r.source("small-"+strconv.Itoa(i), smallRate)
	}
	for i := range largeOrgs {
		r.source("large-"+strconv.Itoa(i), largeRate)
	}
}

// parts returns the least part served of a small organisation's requests and
// the 99th percentile of small organisations' waits.
func (r *limitRun) parts() (least float64, wait clock.Millis) {
	least = 1
	var all []clock.Millis
	for i := range smallOrgs {
		org := "small-" + strconv.Itoa(i)
		least = min(least, float64(r.served[org])/float64(r.arrived[org]))
		all = append(all, r.waits[org]...)
	}
	return least, percentile(all, 0.99)
}

func percentile[T cmp.Ordered](all []T, part float64) (v T) {
	if len(all) == 0 {
		return v
	}
	slices.Sort(all)
	return all[int(part*float64(len(all)-1))]
}

// benchLimit measures what small organisations get beside large ones, and the
// tries made while a pool is dry.
func benchLimit() (out []Figure) {
	for _, fifo := range []bool{false, true} {
		name := map[bool]string{false: "ours", true: "one-line"}[fifo]
		r := newLimitRun(fifo, true)
		r.load()
		r.run(limitSpan)
		least, wait := r.parts()
		prefix := fmt.Sprintf("limit/share/%s/", name)
		large := r.served["large-0"] + r.served["large-1"]
		out = append(
			out,
			Figure{prefix + "small-served-min", least},
			Figure{prefix + "small-wait-p99-ms-max", float64(wait)},
			Figure{prefix + "large-served-per-s-min", float64(large) / 60},
		)
	}
	for _, budget := range []bool{true, false} {
		name := map[bool]string{true: "ours", false: "no-budget"}[budget]
		r := newLimitRun(false, budget)
		r.load()
		r.run(dryFrom)
		r.places = 0
		begun, tries := r.begun, r.tries
		r.run(dryUntil)
		ratio := float64(r.tries-tries) / float64(r.begun-begun)
		r.places = limitPlaces
		before := r.total()
		r.run(dryUntil + 5*clock.Second)
		prefix := fmt.Sprintf("limit/dry-pool/%s/", name)
		out = append(
			out,
			Figure{prefix + "tries-per-request-max", ratio},
			Figure{prefix + "served-in-5-s-after-min", float64(r.total() - before)},
		)
	}
	return out
}

func (r *limitRun) total() (n int) {
	for _, s := range r.served {
		n += s
	}
	return n
}
