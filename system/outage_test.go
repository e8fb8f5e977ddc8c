package system

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/standin"
)

// The platform's log is down for a while. Callers notice nothing: answers stay
// whole, and when the log is back every request has one bill on it.
func TestLogOutageKeepsAnswersAndBills(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 4, zones: 2, first: 2, gap: 1, tokens: 6}
	c := newCluster(t, s)
	is.True(c.ask(c.entries[0], nil).whole)
	c.platform.SetFaults(standin.Faults{Down: true})
	const during = 20
	requests := map[string]bool{}
	for i := range during {
		r := c.ask(c.entries[i%2], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.whole)
		requests[r.request] = true
	}
	c.platform.SetFaults(standin.Faults{})
	c.eventually("a bill for each request of the outage", func() bool {
		bills := c.bills()
		for id := range requests {
			if bills[id] == nil {
				return false
			}
		}
		return true
	})
	for _, b := range c.bills() {
		is.Equal(len(b.GetSteps()), 1)
	}
}

// Answers of the log are lost after the append took effect, several times in a
// row. The appender tries again; the reader still finds one bill a request.
func TestLostAppendAnswersGiveOneBill(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 1, gap: 1, tokens: 3}
	c := newCluster(t, s)
	c.platform.SetFaults(standin.Faults{DropAnswers: 6})
	const requests = 12
	for i := range requests {
		r := c.ask(c.entries[i%2], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.whole)
	}
	c.eventually("one bill a request", func() bool { return len(c.bills()) == requests })
	for _, b := range c.bills() {
		is.Equal(len(b.GetSteps()), 1)
	}
}

// Two operators publish at the same moment on the same revision. All processes
// agree on one winner, and the loser's change is nowhere in force.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 3, endpoints: 2, zones: 2, first: 1, gap: 1, tokens: 2}
	c := newCluster(t, s)
	var wg sync.WaitGroup
	for _, name := range []string{"first", "second"} {
		wg.Go(func() {
			c.publish(fmt.Sprintf("id=%q\nauthor=%q\nkind=\"patch\"\nbase=0\n[tables.routes.%s]\norganisations=[\"desk\"]\nmodels=[{model=\"small\",shares={1=1.0}}]\n", name, name, name))
		})
	}
	wg.Wait()
	models := func(p *process) string {
		_, _, body := c.call(t.Context(), p, http.MethodGet, "/v1/models", "", nil)
		return body
	}
	c.eventually("one winner at all entries", func() bool {
		first, second := 0, 0
		for _, p := range c.entries {
			body := models(p)
			if strings.Contains(body, "first") {
				first++
			}
			if strings.Contains(body, "second") {
				second++
			}
		}
		return first+second == len(c.entries) && (first == 0 || second == 0)
	})
	is.Equal(len(c.platform.Records(provider.ConfigStream)) >= 3, true)
}
