package system

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/standin"
)

const noResume = `
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

// Engines break every stream off after a few tokens, and none can resume. Who has
// seen a part of its answer is told that the request ran; an answer in JSON of
// which nothing was seen starts again, and is given up truly when no engine is
// left.
func TestStreamsOfEnginesWithoutResume(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 2, zones: 1, first: 1, gap: 1, tokens: 10}
	c := newCluster(t, s)
	c.publish(noResume)
	for _, e := range c.engines {
		e.SetFaults(standin.EngineFaults{BreakAfter: 3})
	}
	c.eventually("change in force", func() bool {
		r := c.ask(c.entries[0], nil)
		return !r.whole && r.text == standin.Text(3)
	})
	status, header, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", jsonBody, nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get("Parsleydeal-Run"), "ran")
	for _, e := range c.engines {
		e.SetFaults(standin.EngineFaults{})
		break
	}
	c.eventually("answered by the engine that is well", func() bool {
		status, _, text := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/chat/completions", jsonBody, nil)
		if status == http.StatusOK && !strings.Contains(text, strings.TrimSpace(standin.Text(10))) {
			t.Errorf("answer is not whole: %s", text)
			return true
		}
		return status == http.StatusOK
	})
}

// The same engines with a pool that says it resumes: each attempt goes on where
// the last one broke, until the answer is whole.
func TestBrokenStreamResumesAtOtherEndpoint(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 2, zones: 1, first: 1, gap: 1, tokens: 10}
	c := newCluster(t, s)
	asked, before := 0, 0
	c.eventually("both engines serve", func() bool {
		asked++
		if c.askAbout(c.entries[0], nil, fmt.Sprint("question ", asked)).whole {
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
		r := c.ask(c.entries[0], nil)
		is.Equal(r.status, http.StatusOK)
		is.True(r.whole)
		is.Equal(r.text, standin.Text(10))
	}
	c.eventually("one bill a request", func() bool { return len(c.bills()) == before+4 })
}
