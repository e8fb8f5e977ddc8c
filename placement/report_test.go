package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// Guards against repeated prefill of shared blocks. A subject here is a shared block: five entries
// send long prompts with eighty different ones, at a rate that the endpoints can just prefill if
// each block is prefilled only once. Without reports, entries send prompts with the same block to
// different endpoints, so that it is prefilled again and prompts queue. With reports, repeated
// prefill must fall by at least a third and late answers by half.
func TestReportsReducePrefill(t *testing.T) {
	is := is.New(t)
	without, with := simulateSubjects(false), simulateSubjects(true)
	t.Logf("without reports: %d tokens of shared blocks prefilled again, %d late; with reports: %d, %d", without.repeated, without.late, with.repeated, with.late)
	is.Equal(without.requests, with.requests)
	is.True(with.repeated*3 <= without.repeated*2)
	is.True(with.late*2 <= without.late)
}

// strategiesOf returns the default strategies but with the given strategy for the named decision.
func strategiesOf(name, strategy string) decision.Strategies {
	strategies, err := decision.Choose(map[string]string{name: strategy})
	if err != nil {
		panic(err)
	}
	return strategies
}

// subjectsResult is the result of simulateSubjects: the number of prompts, of tokens of shared
// blocks (subjects) that were prefilled again, and of late prompts.
type subjectsResult struct{ requests, repeated, late int }

// simulateSubjects simulates twenty seconds of prompts for the largest model. Each prompt begins
// with one of eighty shared blocks, its subject. If exchange is true, entries report to each other.
func simulateSubjects(exchange bool) (out subjectsResult) {
	const (
		entries, endpoints, subjects = 5, 9, 80
		shared, own                  = 13000, 3000
		tokensPerMilli               = 20
		prompts                      = 24 // per second
		target                       = 4 * clock.Second
	)
	rnd := rand.New(rand.NewPCG(3, 4))
	s := fleetOf(endpoints, nil)
	var selectors []*Selector
	for range entries {
		selectors = append(selectors, NewSelector())
	}
	freeAt, cached := make(map[string]clock.Millis), make(map[string]bool)
	var pending []prefillEnd
	for now := clock.Millis(0); now < 20*clock.Second; now++ {
		pending = endPrefills(pending, now)
		if exchange && now%100 == 0 {
			exchangeReports(selectors, now)
		}
		if rnd.IntN(int(clock.Second)) >= prompts {
			continue
		}
		out.requests++
		subject := fmt.Sprint("subject", rnd.IntN(subjects))
		q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Now: now, Blocks: []Block{{subject, shared}, {fmt.Sprint("own", now), own}}}
		sel := selectors[rnd.IntN(entries)]
		e, _ := sel.Select(s, q)
		w := sel.Begin(e, q)
		tokens := own
		if !cached[e.ID+subject] {
			tokens += shared
			out.repeated += shared
		}
		cached[e.ID+subject] = true
		freeAt[e.ID] = max(freeAt[e.ID], now) + clock.Millis(tokens/tokensPerMilli)
		if freeAt[e.ID]-now > target {
			out.late++
		}
		pending = append(pending, prefillEnd{freeAt[e.ID], w})
	}
	out.repeated -= subjects * shared // each shared block is prefilled at least once
	return out
}

type prefillEnd struct {
	at   clock.Millis
	work *Work
}

// endPrefills ends the prompts that are prefilled by now and returns the others.
func endPrefills(pending []prefillEnd, now clock.Millis) (remaining []prefillEnd) {
	for _, e := range pending {
		if e.at > now {
			remaining = append(remaining, e)
			continue
		}
		e.work.FirstByte(now, 0)
		e.work.End()
	}
	return remaining
}

func exchangeReports(selectors []*Selector, now clock.Millis) {
	for i, sel := range selectors {
		reports := sel.Report(now, true)
		for j, other := range selectors {
			if i != j {
				other.Receive(fmt.Sprint("entry", i), reports, true, now)
			}
		}
	}
}

// An entry reports a long prompt and then stops. Its reported work must not keep other entries
// from the endpoint forever.
func TestReportedWorkOfStoppedEntriesExpires(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, nil)
	sel := NewSelector()
	other := NewSelector()
	other.Begin(s.Find("e0"), Query{Model: "m", Blocks: []Block{{"long", 100000}}})
	sel.Receive("other", other.Report(0, true), true, 0)
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"x", 300}}, Now: 10}
	e, _ := sel.Select(s, q)
	is.Equal(e.ID, "e1")
	sel.Prune(s, reportTTL+1)
	is.Equal(len(sel.peers), 0)
	pending, _ := sel.reportedWork(sel.stateOf("e0").hash, reportTTL+1)
	is.Equal(pending, 0.0)
}

// A full report must contain a shared block only once, but repeat pending work, so that it makes
// up for a lost report. The last block of a prompt must never be reported, since no other request
// shares it.
func TestFullReportsRepeatPendingWork(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, nil)
	sel := NewSelector()
	w := sel.Begin(s.Find("e0"), Query{Model: "m", Blocks: []Block{{"long", 1000}, {"own", 100}}})
	first, second := sel.Report(0, true), sel.Report(0, true)
	is.Equal(len(first[0].Blocks), 1)
	is.Equal(len(second[0].Blocks), 0)
	is.Equal(second[0].Unanswered, 1)
	w.End()
	is.Equal(len(sel.Report(0, true)), 0)
}

// A long prompt is sent between two full reports. The partial report covers only its endpoint
// and must not discard the reports on other endpoints.
func TestPartialReportsAddToFullReports(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, nil)
	sender, receiver := NewSelector(), NewSelector()
	q := Query{Model: "m", Blocks: []Block{{"long", 10000}}}
	sender.Begin(s.Find("e0"), q)
	receiver.Receive("sender", sender.Report(0, true), true, 0)
	w := sender.Begin(s.Find("e1"), q)
	partial := sender.Report(10, false)
	is.Equal(len(partial), 1)
	receiver.Receive("sender", partial, false, 10)
	for _, id := range []string{"e0", "e1"} {
		pending, _ := receiver.reportedWork(receiver.stateOf(id).hash, 10)
		is.True(pending > 0)
	}
	is.Equal(len(sender.Report(20, false)), 0) // nothing has changed
	w.End()
	receiver.Receive("sender", sender.Report(30, false), false, 30)
	pending, _ := receiver.reportedWork(receiver.stateOf("e1").hash, 30)
	is.Equal(pending, 0.0)
}
