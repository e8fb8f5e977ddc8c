package limit

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
	"pgregory.net/rapid"
)

// fullAdmission returns an Admission whose window is full.
func fullAdmission() *Admission {
	adm := NewAdmission()
	for i := range int(initialWindow) {
		adm.Arrive(0, Item{ID: "busy-" + strconv.Itoa(i), Deadline: clock.Hour})
	}
	return adm
}

func item(id, org string, weight int) Item {
	return Item{ID: id, Organisation: org, Weight: weight, Deadline: clock.Hour}
}

// One organisation sends hundreds of requests at once, and then another sends a single one. The
// single one must be among the next two to start, not the last.
func TestSingleRequestIsNotDelayedByBacklog(t *testing.T) {
	is := is.New(t)
	adm := fullAdmission()
	for i := range 300 {
		adm.Arrive(0, item("large-"+strconv.Itoa(i), "large", 1))
	}
	adm.Arrive(0, item("small", "small", 1))
	one, _ := adm.Release(1, Neutral)
	two, _ := adm.Release(1, Neutral)
	is.True(one[0].ID == "small" || two[0].ID == "small")
}

// Two organisations always have requests waiting. Over time each must be served in proportion to
// its weight.
func TestServiceIsProportionalToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f := newFairQueue()
		a, b := rapid.IntRange(1, 5).Draw(t, "a"), rapid.IntRange(1, 5).Draw(t, "b")
		served := map[string]int{}
		const rounds = 300
		f.push(item("a", "a", a))
		f.push(item("b", "b", b))
		for range rounds {
			it, _ := f.pop()
			served[it.Organisation]++
			f.push(it)
		}
		want := rounds * a / (a + b)
		is.True(served["a"] >= want-a-b && served["a"] <= want+a+b)
	})
}

// An organisation that has been idle for a long time sends many requests. The idle time must not
// let it take the whole pool.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	f := newFairQueue()
	for range 1000 {
		f.push(item("x", "steady", 1))
		f.pop()
	}
	served := map[string]int{}
	f.push(item("a", "steady", 1))
	f.push(item("b", "back", 1))
	for range 20 {
		it, _ := f.pop()
		served[it.Organisation]++
		f.push(it)
	}
	is.True(served["steady"] >= 9 && served["steady"] <= 11)
}

// An organisation gives all its requests a high priority. Priority may only order its own
// requests; otherwise every organisation would have to do the same.
func TestPriorityOrdersOnlyOwnRequests(t *testing.T) {
	is := is.New(t)
	f := newFairQueue()
	for i := range 10 {
		it := item("loud-"+strconv.Itoa(i), "loud", 1)
		it.Priority = int32(i % 2)
		f.push(it)
		f.push(item("quiet-"+strconv.Itoa(i), "quiet", 1))
	}
	var order []string
	for range 10 {
		it, _ := f.pop()
		order = append(order, it.Organisation)
		is.True(it.Organisation == "quiet" || it.Priority == 1)
	}
	loud := 0
	for _, o := range order {
		if o == "loud" {
			loud++
		}
	}
	is.Equal(loud, 5)
}

// The queue is full of one organisation's requests. A request of another organisation must find
// room by evicting the newest of those, and the queue must stay within its bound.
func TestFullQueueDropsFromLongestQueue(t *testing.T) {
	is := is.New(t)
	adm := fullAdmission()
	for i := range maxWaiting {
		v, _, _ := adm.Arrive(0, item("large-"+strconv.Itoa(i), "large", 1))
		is.Equal(v, Wait)
	}
	v, _, dropped := adm.Arrive(0, item("small", "small", 1))
	is.Equal(v, Wait)
	is.Equal(dropped[0].ID, "large-"+strconv.Itoa(maxWaiting-1))
	v, _, _ = adm.Arrive(0, item("late", "large", 1))
	is.Equal(v, Refuse)
	is.Equal(adm.fair.size, maxWaiting)
}

// The pool completes ten requests a second and fifty are waiting. A request with one second left
// cannot start in time; it must be refused at once, with the delay after which to retry.
func TestWaitBeyondDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	adm := fullAdmission()
	now := clock.Millis(0)
	for i := range 50 {
		adm.Arrive(now, item("w"+strconv.Itoa(i), "o", 1))
	}
	for range 40 {
		now += 100
		adm.Release(now, Neutral)
		adm.Arrive(now, item("n"+strconv.Itoa(int(now)), "o", 1))
	}
	it := item("hurry", "o", 1)
	it.Deadline = now + clock.Second
	v, retry, _ := adm.Arrive(now, it)
	is.Equal(v, Refuse)
	is.True(retry > 2*clock.Second && retry < 10*clock.Second)
}

// A pool is saturated and every attempt fails. Retries must stay within one per ten requests
// plus the burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	r := NewRetryBudget()
	tries := 0
	const requests = 10_000
	for range requests {
		r.RecordRequest()
		tries++
		for range 3 {
			if r.TryRetry() {
				tries++
			}
		}
	}
	is.True(float64(tries) <= requests*(1+retryRatio)+retryBurst)
	is.True(tries > requests)
}

// Gates refuse requests for a while and then accept them again. The window must shrink fast, and
// recover to about its old size without growing by only one slot at a time.
func TestWindowRecoversAfterSaturation(t *testing.T) {
	is := is.New(t)
	w := window{size: 50}
	now := 10 * clock.Second
	for range 100 {
		w.inFlight = int(w.size)
		now += cutInterval
		w.release(now, Refused)
	}
	is.Equal(w.size, minWindow)
	w.inFlight = int(w.size)
	w.grow(now + growthPause)
	is.Equal(w.size, minWindow) // no growth during the pause
	for range 60 {
		w.inFlight = int(w.size)
		w.grow(now + growthPause + 1)
	}
	is.True(w.size > 50)
}

// The window is larger than what the gates accept, and many requests wait. If the slot that a
// refused request frees started the next waiting one, the whole queue would be refused within a few
// round trips.
func TestRefusalStartsNoWaitingRequest(t *testing.T) {
	is := is.New(t)
	adm := fullAdmission()
	for i := range 100 {
		adm.Arrive(0, item("w"+strconv.Itoa(i), "o", 1))
	}
	started := 0
	for now := range clock.Millis(30) {
		s, _ := adm.Release(cutInterval+now, Refused)
		started += len(s)
	}
	is.Equal(started, 0)
}

// An entry starts in front of a large pool whose requests run for minutes. Although none has
// ended yet, the window must not hold back requests that the gates accept.
func TestWindowGrowsBeforeRequestsEnd(t *testing.T) {
	is := is.New(t)
	adm := NewAdmission()
	for i := range 1000 {
		v, _, _ := adm.Arrive(clock.Millis(i), item(strconv.Itoa(i), "o", 1))
		is.Equal(v, Start)
		adm.Accepted(clock.Millis(i))
	}
}

// A caller disconnects while its request waits. Its slot must go to the next request; otherwise
// the window would shrink by one for good.
func TestCancelledRequestFreesItsSlot(t *testing.T) {
	is := is.New(t)
	queues := NewQueues(clock.System())
	q := queues.For("m@1")
	for i := range int(initialWindow) {
		is.NoErr(q.Acquire(t.Context(), Item{ID: strconv.Itoa(i), Deadline: clock.Hour}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := q.Acquire(ctx, Item{ID: "gone", Deadline: clock.Hour})
	r, ok := refusal.As(err)
	is.True(ok && r.Code() == refusal.Cancelled && r.Run() == refusal.NotRun)
	q.Release(Neutral)
	is.NoErr(q.Acquire(t.Context(), Item{ID: "next", Deadline: clock.Hour}))
	is.Equal(q.admission.window.inFlight, int(initialWindow))
}

// An entry has just started in front of a cold pool that runs four requests at a time, 100 ms each,
// and twenty arrive at once. After the first completion the others must be queued, for half a
// second at most. If idle time counted towards the completion rate, they would be refused with a
// retry delay of 18 s.
func TestFirstCompletionsDoNotLookLikeSlowPool(t *testing.T) {
	is := is.New(t)
	for _, pause := range []clock.Millis{0, clock.Minute} {
		adm := NewAdmission()
		adm.window.size = 4
		now := clock.Millis(5000)
		for round := range 2 {
			for i := range 4 {
				v, _, _ := adm.Arrive(now, Item{ID: fmt.Sprint(round, "-", i), Organisation: "o", Weight: 1, Deadline: now + clock.Hour})
				is.Equal(v, Start)
			}
			now += 100
			adm.Release(now, Served)
			for i := range 16 {
				v, retry, _ := adm.Arrive(now, Item{ID: fmt.Sprint(round, "+", i), Organisation: "o", Weight: 1, Deadline: now + clock.Hour})
				is.True(v != Refuse) // a slot is free within half a second
				is.Equal(retry, clock.Millis(0))
			}
			for adm.window.inFlight > 0 {
				now += 25
				adm.Release(now, Served)
			}
			now += pause
		}
	}
}
