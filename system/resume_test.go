package system

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/standin"
)

const noResumePatch = `
id = "no-resume"
author = "test"
kind = "patch"
base = 0
[tables.pools.small]
versions = ["small@1"]
cold-window = 8
full-window = 64
resumes = false
`

const jsonBody = `{"model":"quick","messages":[{"role":"user","content":"When is the renewal due?"}]}`

// Every engine breaks its streams after a few tokens, and none can resume an answer. A caller that
// got a part of an answer must get the error that the request ran. A caller of a JSON answer gets
// nothing before it is complete: the request is retried from the start, and fails with "ran" when
// no engine is left.
func TestStreamsOfEnginesWithoutResume(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 2, zones: 1, firstTokenDelay: 1, tokenGap: 1, tokenCount: 10}
	c := newCluster(t, s)
	c.publish(noResumePatch)
	for _, e := range c.engines {
		e.SetFaults(standin.EngineFaults{BreakAfter: 3})
	}
	c.eventually("change in force", func() bool {
		r := c.streamChat(c.entries[0], nil)
		return !r.complete && r.text == standin.Text(3)
	})
	status, header, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", jsonBody, nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get("Parsleydeal-Run"), "ran")
	for _, e := range c.engines {
		e.SetFaults(standin.EngineFaults{})
		break
	}
	c.eventually("answered by the healthy engine", func() bool {
		status, _, text := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", jsonBody, nil)
		if status == http.StatusOK && !strings.Contains(text, strings.TrimSpace(standin.Text(10))) {
			t.Errorf("answer is incomplete: %s", text)
			return true
		}
		return status == http.StatusOK
	})
}

// In a pool whose engines can resume an answer, each attempt must continue where the previous one
// broke, until the answer is complete.
func TestBrokenStreamResumesAtOtherEndpoint(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 2, zones: 1, firstTokenDelay: 1, tokenGap: 1, tokenCount: 10}
	c := newCluster(t, s)
	sent, before := 0, 0
	c.eventually("both engines serve", func() bool {
		sent++
		if c.streamChatAbout(c.entries[0], nil, fmt.Sprint("question ", sent)).complete {
			before++
		}
		for _, e := range c.engines {
			if e.Started() == 0 {
				return false
			}
		}
		return true
	})
	for _, e := range c.engines {
		e.SetFaults(standin.EngineFaults{BreakAfter: 3})
		break
	}
	for range 4 {
		r := c.streamChat(c.entries[0], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
		is.Equal(r.text, standin.Text(10))
	}
	c.eventually("one bill per request", func() bool { return len(c.bills()) == before+4 })
}
