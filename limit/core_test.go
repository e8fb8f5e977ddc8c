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

// busy returns a core whose window is full.
func busy() *Admission {
	c := NewAdmission()
	for i := range int(firstWindow) {
		c.Arrive(0, Item{ID: "busy-" + strconv.Itoa(i), Deadline: clock.Hour})
	}
	return c
}

func item(id, org string, weight int) Item {
	return Item{ID: id, Organisation: org, Weight: weight, Deadline: clock.Hour}
}

// One organisation sends hundreds of requests at once, another sends a single
// one after them. The single one must be next but one, not last.
func TestSingleRequestIsNotDelayedByBacklog(t *testing.T) {
	is := is.New(t)
	c := busy()
	for i := range 300 {
		c.Arrive(0, item("large-"+strconv.Itoa(i), "large", 1))
	}
	c.Arrive(0, item("small", "small", 1))
	one, _ := c.Release(1, Neutral)
	two, _ := c.Release(1, Neutral)
	is.True(one[0].ID == "small" || two[0].ID == "small")
}

// Two organisations always have requests waiting. Over time each must get its
// weight's part, whatever the weights are and however many wait.
func TestServiceIsProportionalToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f := newFair()
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

// An organisation asks for nothing for an hour and then for much. The hour must
// not have earned it the pool for itself.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	f := newFair()
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

// An organisation marks all it sends as urgent. That may order its own requests
// only, or everybody would have to do the same.
func TestPriorityOrdersOnlyOwnRequests(t *testing.T) {
	is := is.New(t)
	f := newFair()
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

// The queue is full of one organisation's requests. Somebody else's request must
// find room, at the cost of the newest of those, and the bound must hold.
func TestFullQueueDropsFromLongestQueue(t *testing.T) {
	is := is.New(t)
	c := busy()
	for i := range maxWaiting {
		v, _, _ := c.Arrive(0, item("large-"+strconv.Itoa(i), "large", 1))
		is.Equal(v, Wait)
	}
	v, _, dropped := c.Arrive(0, item("small", "small", 1))
	is.Equal(v, Wait)
	is.Equal(dropped[0].ID, "large-"+strconv.Itoa(maxWaiting-1))
	v, _, _ = c.Arrive(0, item("late", "large", 1))
	is.Equal(v, Refuse)
	is.Equal(c.fair.size, maxWaiting)
}

// The pool ends ten requests a second and fifty wait. One that has a second left
// can only give up; it must hear so at once, and when to come back.
func TestWaitBeyondDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := busy()
	now := clock.Millis(0)
	for i := range 50 {
		c.Arrive(now, item("w"+strconv.Itoa(i), "o", 1))
	}
	for range 40 {
		now += 100
		c.Release(now, Neutral)
		c.Arrive(now, item("n"+strconv.Itoa(int(now)), "o", 1))
	}
	it := item("hurry", "o", 1)
	it.Deadline = now + clock.Second
	v, retry, _ := c.Arrive(now, it)
	is.Equal(v, Refuse)
	is.True(retry > 2*clock.Second && retry < 10*clock.Second)
}

// A pool runs dry and every attempt fails. The entry may try again only for one
// request in ten, beside what it had saved up.
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

// Gates refuse for a while, then take work again. The window must fall fast and
// come back to near where it was without creeping up one by one.
func TestWindowRecoversAfterSaturation(t *testing.T) {
	is := is.New(t)
	w := window{size: 50}
	now := 10 * clock.Second
	for range 100 {
		w.used = int(w.size)
		now += cutEvery
		w.end(now, Refused)
	}
	is.Equal(w.size, leastWindow)
	w.used = int(w.size)
	w.grow(now + afterCut)
	is.Equal(w.size, leastWindow) // it rests first
	for range 60 {
		w.used = int(w.size)
		w.grow(now + afterCut + 1)
	}
	is.True(w.size > 50)
}

// The window lies above what the gates hold, and many requests wait. Each one
// refused must not start the next, or the whole queue would be refused within
// the time of a few hops.
func TestRefusalStartsNoWaitingRequest(t *testing.T) {
	is := is.New(t)
	c := busy()
	for i := range 100 {
		c.Arrive(0, item("w"+strconv.Itoa(i), "o", 1))
	}
	started := 0
	for now := range clock.Millis(30) {
		s, _ := c.Release(cutEvery+now, Refused)
		started += len(s)
	}
	is.Equal(started, 0)
}

// An entry starts before a large pool whose requests run for minutes. None has
// ended yet, and still the window must not hold back what the gates take.
func TestWindowGrowsBeforeRequestsEnd(t *testing.T) {
	is := is.New(t)
	c := NewAdmission()
	for i := range 1000 {
		v, _, _ := c.Arrive(clock.Millis(i), item(strconv.Itoa(i), "o", 1))
		is.Equal(v, Start)
		c.Accepted(clock.Millis(i))
	}
}

// A caller goes away while its request waits. Its place must go to the next one,
// or the window would shrink by one for good.
func TestCancelledRequestFreesItsSlot(t *testing.T) {
	is := is.New(t)
	queues := NewQueues(clock.System())
	q := queues.For("m@1")
	for i := range int(firstWindow) {
		is.NoErr(q.Acquire(t.Context(), Item{ID: strconv.Itoa(i), Deadline: clock.Hour}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := q.Acquire(ctx, Item{ID: "gone", Deadline: clock.Hour})
	r, ok := refusal.As(err)
	is.True(ok && r.Code() == refusal.Cancelled && r.Run() == refusal.NotRun)
	q.Release(Neutral)
	is.NoErr(q.Acquire(t.Context(), Item{ID: "next", Deadline: clock.Hour}))
	is.Equal(q.core.window.used, int(firstWindow))
}

// An entry has just started before a cold pool that takes four requests at a
// time, 100 ms each. Twenty come at once. After the first one has ended the
// others must wait their half second, not be told to come back in eighteen.
func TestFirstCompletionsDoNotLookLikeSlowPool(t *testing.T) {
	is := is.New(t)
	for _, pause := range []clock.Millis{0, clock.Minute} {
		c := NewAdmission()
		c.window.size = 4
		now := clock.Millis(5000)
		for round := range 2 {
			for i := range 4 {
				v, _, _ := c.Arrive(now, Item{ID: fmt.Sprint(round, "-", i), Organisation: "o", Weight: 1, Deadline: now + clock.Hour})
				is.Equal(v, Start)
			}
			now += 100
			c.Release(now, Served)
			for i := range 16 {
				v, retry, _ := c.Arrive(now, Item{ID: fmt.Sprint(round, "+", i), Organisation: "o", Weight: 1, Deadline: now + clock.Hour})
				is.True(v != Refuse) // it would be free in half a second
				is.Equal(retry, clock.Millis(0))
			}
			for c.window.used > 0 {
				now += 25
				c.Release(now, Served)
			}
			now += pause
		}
	}
}
