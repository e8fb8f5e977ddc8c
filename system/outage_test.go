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

// During an outage of the platform's log callers must still get complete answers. Once the log is
// back, every request must have one bill on it.
func TestLogOutageKeepsAnswersAndBills(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 4, zones: 2, firstTokenDelay: 2, tokenGap: 1, tokenCount: 6}
	c := newCluster(t, s)
	is.True(c.streamChat(c.entries[0], nil).complete)
	c.platform.SetFaults(standin.Faults{Down: true})
	const requestCount = 20
	requests := map[string]bool{}
	for i := range requestCount {
		r := c.streamChat(c.entries[i%2], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
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

// The log's replies are lost after the appends took effect, several times in a row. The appender
// retries, so a bill may be on the log several times; readers must still find one bill per request.
func TestLostAppendAnswersGiveOneBill(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 3}
	c := newCluster(t, s)
	c.platform.SetFaults(standin.Faults{DropAnswers: 6})
	const requests = 12
	for i := range requests {
		r := c.streamChat(c.entries[i%2], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
	}
	c.eventually("one bill per request", func() bool { return len(c.bills()) == requests })
	for _, b := range c.bills() {
		is.Equal(len(b.GetSteps()), 1)
	}
}

// Two operators publish changes at the same time, based on the same revision. All processes must
// accept the same one of them, and the other must not be in force at any process.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 3, endpoints: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 2}
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
	c.eventually("the same change at all entries", func() bool {
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
