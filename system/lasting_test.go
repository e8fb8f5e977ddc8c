package system

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/standin"
)

// warm asks until every endpoint has served, since one that has not read the
// tables yet cannot begin in an outage. It returns how many answers were whole.
func (c *cluster) warm() (whole int) {
	c.t.Helper()
	c.eventually("all endpoints serve", func() bool {
		for _, e := range c.entries {
			if c.ask(e, nil).whole {
				whole++
			}
		}
		for _, e := range c.engines {
			if e.Started() == 0 {
				return false
			}
		}
		return true
	})
	return whole
}

// The log goes out. Callers are served, and one entry's VM vanishes right after
// its answers. When the log is back every answered request has one bill, also
// those whose entry took its own copy along.
func TestEntryLostInLogOutageLosesNoBill(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 3, endpoints: 3, zones: 3, first: 5, gap: 1, tokens: 5}
	c := newCluster(t, s)
	served := c.warm()
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
	c.eventually("the bills before", func() bool { return len(c.bills()) == callers+served })
}

// The log loses the answers to its appends. The bills stand on the log once,
// and the statement finds nothing wrong.
func TestLostAppendAnswersBillOnce(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	// An entry that has just begun knows no holder and appends for itself.
	asked := 0
	c.eventually("a holder that appends", func() bool {
		asked++
		is.True(c.ask(c.entries[0], nil).whole)
		if len(c.bills()) != asked {
			return false
		}
		records := c.platform.Records(provider.BillStream)
		return strings.Contains(string(records[len(records)-1]), "entry-1-")
	})
	const calls = 6
	first := len(c.platform.Records(provider.BillStream))
	for range calls {
		c.platform.SetFaults(standin.Faults{DropAnswers: 1})
		is.True(c.ask(c.entries[0], nil).whole)
	}
	c.eventually("all bills", func() bool { return len(c.bills()) == asked+calls })
	st := bill.NewStatement()
	for i, data := range c.platform.Records(provider.BillStream)[first:] {
		st.Add(int64(i), data)
	}
	st.Finish(nil)
	list, _ := st.Anomalies()
	is.Equal(len(list), 0)
	_, repeats := st.Counts()
	is.Equal(repeats, int64(0)) // each lost answer was read back, not sent again
}

// The log drops the record that holds the tables. The processes that know them
// write them down again, and one that starts afterwards serves.
func TestStartAfterTheTablesExpired(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	c.platform.Expire(provider.ConfigStream, 1)
	c.eventually("a checkpoint", func() bool { return len(c.platform.Records(provider.ConfigStream)) > 0 })
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
func TestKeyedPostRunsOnceWhenEntryIsLost(t *testing.T) {
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

// The log is out and bills wait. Operators stop the entry that made them, and
// then the VM of another that may hold them vanishes. The stop has handed every
// bill to a second process, so none is lost.
func TestPlannedStopInLogOutageHandsOverBills(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 3, endpoints: 3, zones: 3, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	served := c.warm()
	c.platform.SetFaults(standin.Faults{Down: true})
	const calls = 10
	for range calls {
		is.True(c.ask(c.entries[0], nil).whole)
	}
	c.entries[0].stop(t)
	c.entries[1].kill()
	c.platform.SetFaults(standin.Faults{})
	c.eventually("all bills", func() bool { return len(c.bills()) == calls+served })
}

// A session goes on while its entry vanishes and a roll-out takes all shares
// from its version. Only when the version is withdrawn does the session move,
// and the answer says so.
func TestSessionKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 2, zones: 2, first: 2, gap: 1, tokens: 3}
	c := newCluster(t, s)
	const ask = `{"model":"quick","messages":[{"role":"user","content":"When?"}]}`
	in := func(p *process, token string) (status int, h http.Header) {
		header := http.Header{}
		if token != "" {
			header.Set("Parsleydeal-Session", token)
		}
		status, h, _ = c.call(t.Context(), p, http.MethodPost, "/v1/chat/completions", ask, header)
		return status, h
	}
	publish := func(id string, base int, shares, extra string) {
		c.publish(fmt.Sprintf("id=%q\nauthor=\"test\"\nkind=\"patch\"\nbase=%d\n[tables.versions.\"small@2\"]\ninput-cost=100\noutput-cost=300\nquality=0.9\n%s"+
			"[tables.pools.small]\nversions=[\"small@1\",\"small@2\"]\ncold-window=8\nfull-window=64\n"+
			"[tables.routes.quick]\norganisations=[\"desk\"]\nmodels=[{model=\"small\",shares={%s}}]\nquality-target=0.5\n", id, base, extra, shares))
	}
	version := func(p *process) string {
		_, h := in(p, "")
		return h.Get("Parsleydeal-Version")
	}
	_, h := in(c.entries[0], "")
	token := h.Get("Parsleydeal-Session")
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	publish("roll-out", 0, "1=0.0, 2=1.0", "")
	c.eventually("the roll-out", func() bool { return version(c.entries[1]) == "small@2" })
	c.entries[0].kill()
	status, h := in(c.entries[1], token)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	is.Equal(h.Get("Parsleydeal-Session-Moved"), "")
	token = h.Get("Parsleydeal-Session")
	publish("withdrawal", 1, "1=0.0, 2=1.0", "[tables.versions.\"small@1\"]\ninput-cost=100\noutput-cost=300\nquality=0.9\nwithdrawn=true\n")
	c.eventually("the withdrawal", func() bool {
		_, h = in(c.entries[1], token)
		return h.Get("Parsleydeal-Version") == "small@2"
	})
	is.Equal(h.Get("Parsleydeal-Session-Moved"), "withdrawn")
	status, h = in(c.entries[1], token+"x")
	is.Equal(status, http.StatusBadRequest)
	is.Equal(h.Get("Parsleydeal-Run"), "not-run")
}

// A service takes a fee and vanishes before it answers. The entry cannot know
// whether the fee was booked: it must not try the other endpoint, and must say
// that it does not know.
func TestUnkeyedPostIsNotRetriedWhenServiceIsLost(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 1, plain: 3, zones: 2, first: 1, gap: 1, tokens: 2}
	c := newCluster(t, s)
	for _, p := range c.plain {
		p.SetFaults(standin.PlainFaults{DropConnection: true})
	}
	status, h, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/services/records/fee", "renew", nil)
	is.True(status >= http.StatusInternalServerError)
	is.Equal(h.Get("Parsleydeal-Run"), "unknown")
	runs := 0
	for _, p := range c.plain {
		runs += p.Calls(http.MethodPost, "/fee")
	}
	is.Equal(runs, 1)
}
