package system

import (
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
