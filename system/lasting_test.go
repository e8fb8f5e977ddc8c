package system

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/standin"
)

// The log goes out. Callers are served, and one entry's VM vanishes right after
// its answers. When the log is back every answered request has one bill, also
// those whose entry took its own copy along.
func TestEntryLostInLogOutageLosesNoBill(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 3, endpoints: 3, zones: 3, first: 5, gap: 1, tokens: 5}
	c := newCluster(t, s)
	is.True(c.ask(c.entries[0], nil).whole)
	c.platform.SetFaults(standin.Faults{Down: true})
	const callers = 12
	answers := make(chan result, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { answers <- c.ask(c.entries[i%2], nil) })
	}
	wg.Wait()
	close(answers)
	c.entries[0].kill()
	c.platform.SetFaults(standin.Faults{})
	for r := range answers {
		is.Equal(r.status, http.StatusOK)
		is.True(r.whole) // the log's outage is no caller's matter
		c.eventually("the bill of "+r.request, func() bool { return c.bills()[r.request] != nil })
	}
	is.Equal(len(c.bills()), callers+1)
}

// The log loses the answers to its appends. The bills stand on the log once,
// and the statement finds nothing wrong.
func TestLostAppendAnswersBillOnce(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	const calls = 6
	for range calls {
		c.platform.SetFaults(standin.Faults{LoseAnswers: 1})
		is.True(c.ask(c.entries[0], nil).whole)
	}
	c.eventually("all bills", func() bool { return len(c.bills()) == calls })
	st := bill.NewStatement()
	for i, data := range c.platform.Records(platform.BillStream) {
		st.Add(int64(i), data)
	}
	st.Finish(nil)
	list, _ := st.Anomalies()
	is.Equal(len(list), 0)
}

// The log drops the record that holds the tables. The processes that know them
// write them down again, and one that starts afterwards serves.
func TestStartAfterTheTablesExpired(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	c.platform.Expire(platform.ConfigStream, 1)
	c.eventually("a checkpoint", func() bool { return len(c.platform.Records(platform.ConfigStream)) > 0 })
	c.addEntry(len(c.entries), s)
	c.list()
	late := c.entries[len(c.entries)-1]
	c.start(late)
	c.waitModels(late)
	is.True(c.ask(late, nil).whole)
}

// A fee is posted with a key and the entry's VM vanishes while the service works
// on it. The caller posts again at another entry: it gets the answer of the
// first call, or the truth about it, and the service sees the fee once.
func TestKeyedPostIsRunOnceOverALostEntry(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 3, endpoints: 1, plain: 2, zones: 2, first: 1, gap: 1, tokens: 2}
	c := newCluster(t, s)
	post := func(p *process, path, key, body string) (int, http.Header, string) {
		return c.call(t.Context(), p, http.MethodPost, "/v1/services/records/"+path, body, http.Header{"Idempotency-Key": {key}})
	}
	runs := func(path string) (n int) {
		for _, p := range c.plain {
			n += p.Calls(http.MethodPost, "/"+path)
		}
		return n
	}
	// Once without a failure: the second entry gives the kept answer.
	status, _, text := post(c.entries[0], "fee-kept", "k1", "renew")
	is.Equal(status, http.StatusOK)
	again, _, same := post(c.entries[1], "fee-kept", "k1", "renew")
	is.Equal(again, http.StatusOK)
	is.Equal(same, text)
	is.Equal(runs("fee-kept"), 1)
	// The same key for another call is refused before anything runs.
	status, h, _ := post(c.entries[2], "fee-kept", "k1", "renew twice")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(h.Get("Parsleydeal-Run"), "not-run")
	// The entry vanishes in the middle of several calls.
	const calls = 8
	var begun sync.WaitGroup
	for i := range calls {
		begun.Go(func() { post(c.entries[0], fmt.Sprintf("fee-%d", i), fmt.Sprintf("lost-%d", i), "renew") })
	}
	c.entries[0].kill()
	begun.Wait()
	for i := range calls {
		path := fmt.Sprintf("fee-%d", i)
		c.eventually("an answer to "+path, func() bool {
			status, h, _ := post(c.entries[1], path, fmt.Sprintf("lost-%d", i), "renew")
			return status == http.StatusOK || h.Get("Parsleydeal-Run") == "ran"
		})
		is.Equal(runs(path), 1)
	}
}

// The log is out. A keyed fee cannot be claimed, so it is refused, truly not
// run, and the caller is told when to come back.
func TestKeyedPostInLogOutageIsNotRun(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 1, plain: 1, zones: 1, first: 1, gap: 1, tokens: 2}
	c := newCluster(t, s)
	c.platform.SetFaults(standin.Faults{Down: true})
	status, h, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/services/records/fee", "renew", http.Header{"Idempotency-Key": {"k"}})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(h.Get("Parsleydeal-Run"), "not-run")
	is.True(h.Get("Retry-After") != "")
	for _, p := range c.plain {
		is.Equal(p.Calls(http.MethodPost, "/fee"), 0)
	}
	c.platform.SetFaults(standin.Faults{})
	c.eventually("the fee", func() bool {
		status, _, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/services/records/fee", "renew", http.Header{"Idempotency-Key": {"k"}})
		return status == http.StatusOK
	})
}
