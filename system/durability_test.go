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

// warmUp sends requests until every endpoint has served one: an endpoint that has not read the
// tables cannot start to serve during an outage of the log. It returns the number of complete
// answers.
func (c *cluster) warmUp() (completed int) {
	c.t.Helper()
	c.eventually("all endpoints serve", func() bool {
		for _, e := range c.entries {
			if c.streamChat(e, nil).complete {
				completed++
			}
		}
		for _, e := range c.engines {
			if e.Started() == 0 {
				return false
			}
		}
		return true
	})
	return completed
}

// Kills an entry during a log outage, right after it answered. Once the log is back, every answered
// request must have one bill, including those whose bill has one of its two copies on the killed
// entry.
func TestEntryLostInLogOutageLosesNoBill(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 3, endpoints: 3, zones: 3, firstTokenDelay: 5, tokenGap: 1, tokenCount: 5}
	c := newCluster(t, s)
	served := c.warmUp()
	c.platform.SetFaults(standin.Faults{Down: true})
	const callers = 12
	answers := make(chan result, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { answers <- c.streamChat(c.entries[i%2], nil) })
	}
	wg.Wait()
	close(answers)
	c.entries[0].kill()
	c.platform.SetFaults(standin.Faults{})
	for r := range answers {
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete) // the log outage must not affect callers
		c.eventually("the bill of "+r.request, func() bool { return c.bills()[r.request] != nil })
	}
	c.eventually("the bills from before the outage", func() bool { return len(c.bills()) == callers+served })
}

// The log's replies to appends are lost. Each bill must still be on the log once, and the statement
// of the bills must have no anomaly.
func TestLostAppendAnswersBillOnce(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 2, zones: 2, firstTokenDelay: 2, tokenGap: 1, tokenCount: 3}
	c := newCluster(t, s)
	// An entry that has just started appends bills itself until it knows a process that can hold
	// their second copies. Waits until the other entry appends.
	sent := 0
	c.eventually("the other entry appends", func() bool {
		sent++
		is.True(c.streamChat(c.entries[0], nil).complete)
		if len(c.bills()) != sent {
			return false
		}
		records := c.platform.Records(provider.BillStream)
		return strings.Contains(string(records[len(records)-1]), "entry-1-")
	})
	const calls = 6
	first := len(c.platform.Records(provider.BillStream))
	for range calls {
		c.platform.SetFaults(standin.Faults{DropAnswers: 1})
		is.True(c.streamChat(c.entries[0], nil).complete)
	}
	c.eventually("all bills", func() bool { return len(c.bills()) == sent+calls })
	st := bill.NewStatement()
	for i, data := range c.platform.Records(provider.BillStream)[first:] {
		st.Add(int64(i), data)
	}
	st.Finish(nil)
	list, _ := st.Anomalies()
	is.Equal(len(list), 0)
	_, repeats := st.Counts()
	is.Equal(repeats, int64(0)) // after a lost reply the record is read back, not appended again
}

// The log no longer retains the record that holds the tables. Processes that have the tables must
// write a checkpoint before that, so that an entry that starts later can serve.
func TestStartAfterTheTablesExpired(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 2, zones: 2, firstTokenDelay: 2, tokenGap: 1, tokenCount: 3}
	c := newCluster(t, s)
	c.platform.Expire(provider.ConfigStream, 1)
	c.eventually("a checkpoint", func() bool { return len(c.platform.Records(provider.ConfigStream)) > 0 })
	c.addEntry(len(c.entries), s)
	c.setVMList()
	added := c.entries[len(c.entries)-1]
	c.start(added)
	c.waitModels(added)
	is.True(c.streamChat(added, nil).complete)
}

// Kills an entry while a service handles calls that were sent through it with idempotency keys,
// such as payments of a fee. The caller retries at another entry and must get the answer of the
// first call or the report that it ran; the service must receive each call once.
func TestKeyedPostRunsOnceWhenEntryIsLost(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 3, endpoints: 1, plain: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 2}
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
	// No failure: the second entry returns the retained answer.
	status, _, text := post(c.entries[0], "fee-kept", "k1", "renew")
	is.Equal(status, http.StatusOK)
	again, _, same := post(c.entries[1], "fee-kept", "k1", "renew")
	is.Equal(again, http.StatusOK)
	is.Equal(same, text)
	is.Equal(runs("fee-kept"), 1)
	// The same key with another body is refused before anything runs.
	status, h, _ := post(c.entries[2], "fee-kept", "k1", "renew twice")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(h.Get("Parsleydeal-Run"), "not-run")
	// The entry is killed during several calls.
	const calls = 8
	var posts sync.WaitGroup
	for i := range calls {
		posts.Go(func() { post(c.entries[0], fmt.Sprintf("fee-%d", i), fmt.Sprintf("lost-%d", i), "renew") })
	}
	c.entries[0].kill()
	posts.Wait()
	for i := range calls {
		path := fmt.Sprintf("fee-%d", i)
		c.eventually("an answer to "+path, func() bool {
			status, h, _ := post(c.entries[1], path, fmt.Sprintf("lost-%d", i), "renew")
			return status == http.StatusOK || h.Get("Parsleydeal-Run") == "ran"
		})
		is.Equal(runs(path), 1)
	}
}

// During a log outage no idempotency key can be claimed. A call with a key must be refused without
// having run, and the refusal must have a Retry-After header.
func TestKeyedPostInLogOutageIsNotRun(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 1, plain: 1, zones: 1, firstTokenDelay: 1, tokenGap: 1, tokenCount: 2}
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

// During a log outage, stops the entry that made the pending bills and then kills another entry,
// which may hold copies of them. The stopping entry must hand over every bill so that two other
// processes have it; otherwise the kill would lose bills.
func TestPlannedStopInLogOutageHandsOverBills(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 3, endpoints: 3, zones: 3, firstTokenDelay: 2, tokenGap: 1, tokenCount: 3}
	c := newCluster(t, s)
	served := c.warmUp()
	c.platform.SetFaults(standin.Faults{Down: true})
	const calls = 10
	for range calls {
		is.True(c.streamChat(c.entries[0], nil).complete)
	}
	c.entries[0].stop(t)
	c.entries[1].kill()
	c.platform.SetFaults(standin.Faults{})
	c.eventually("all bills", func() bool { return len(c.bills()) == calls+served })
}

// A session must keep its version when its entry is killed and when a roll-out sets the version's
// traffic share to 0. It may move only once the version is withdrawn, and the answer must then
// report the move.
// An entry that has tables but has not read the VM list refused requests for want of endpoints while it
// said that it was ready.
func TestEntryIsNotReadyBeforeItKnowsEndpoints(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterSpec{entries: 1, endpoints: 1, zones: 1, firstTokenDelay: 2, tokenGap: 1, tokenCount: 3, platformFaults: standin.Faults{ListDelayMillis: 500}})
	c.waitReady(c.entries[0])
	status, _, body := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", `{"model":"quick","messages":[{"role":"user","content":"When?"}]}`, nil)
	is.Equal(status, http.StatusOK)
	is.True(body != "")
}

func TestSessionKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 2, zones: 2, firstTokenDelay: 2, tokenGap: 1, tokenCount: 3}
	c := newCluster(t, s)
	const chatBody = `{"model":"quick","messages":[{"role":"user","content":"When?"}]}`
	send := func(p *process, token string) (status int, h http.Header) {
		header := http.Header{}
		if token != "" {
			header.Set("Parsleydeal-Session", token)
		}
		status, h, _ = c.call(t.Context(), p, http.MethodPost, "/v1/chat/completions", chatBody, header)
		return status, h
	}
	publish := func(id string, base int, shares, extra string) {
		c.publish(fmt.Sprintf("id=%q\nauthor=\"test\"\nkind=\"patch\"\nbase=%d\n[tables.versions.\"small@2\"]\ninput-cost=100\noutput-cost=300\nquality=0.9\n%s"+
			"[tables.pools.small]\nversions=[\"small@1\",\"small@2\"]\ncold-window=8\nfull-window=64\n"+
			"[tables.routes.quick]\norganisations=[\"desk\"]\nmodels=[{model=\"small\",shares={%s}}]\nquality-target=0.5\n", id, base, extra, shares))
	}
	version := func(p *process) string {
		_, h := send(p, "")
		return h.Get("Parsleydeal-Version")
	}
	_, h := send(c.entries[0], "")
	token := h.Get("Parsleydeal-Session")
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	publish("roll-out", 0, "1=0.0, 2=1.0", "")
	c.eventually("the roll-out", func() bool { return version(c.entries[1]) == "small@2" })
	c.entries[0].kill()
	status, h := send(c.entries[1], token)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	is.Equal(h.Get("Parsleydeal-Session-Moved"), "")
	token = h.Get("Parsleydeal-Session")
	publish("withdrawal", 1, "1=0.0, 2=1.0", "[tables.versions.\"small@1\"]\ninput-cost=100\noutput-cost=300\nquality=0.9\nwithdrawn=true\n")
	c.eventually("the withdrawal", func() bool {
		_, h = send(c.entries[1], token)
		return h.Get("Parsleydeal-Version") == "small@2"
	})
	is.Equal(h.Get("Parsleydeal-Session-Moved"), "withdrawn")
	status, h = send(c.entries[1], token+"x")
	is.Equal(status, http.StatusBadRequest)
	is.Equal(h.Get("Parsleydeal-Run"), "not-run")
}

// A service receives a call without an idempotency key, such as the payment of a fee, and drops the
// connection before it replies. The entry cannot know whether the call took effect: it must not
// retry at another endpoint, and must report that it is unknown whether the call ran.
func TestUnkeyedPostIsNotRetriedWhenServiceIsLost(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 1, plain: 3, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 2}
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
