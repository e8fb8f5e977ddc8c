package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// leavingCallers is the number of callers of each kind that leave, stayingCallers of those that stay.
	leavingCallers = 60
	stayingCallers = 20
	// leaveAfter is when a caller closes its connection, after it has sent its whole request. Its entry goes on
	// resumeAfter later.
	leaveAfter  = 150 * time.Millisecond
	resumeAfter = 1200 * time.Millisecond
	// pausedLease is longer than pauses that follow each other may keep an entry from confirming its configuration.
	pausedLease = 10 * time.Second
	// handedSlack is how much more time than its caller has left a request may be given at an endpoint.
	handedSlack = 500 * time.Millisecond
)

// leftKind is a kind of request as it is on the wire.
type leftKind struct {
	name, head, body string
	// timeout is how long the caller or its route waits at most.
	timeout time.Duration
}

// request returns a request of the kind.
func (kind leftKind) request(id, key string) string {
	return fmt.Sprintf("%sHost: h.example\r\nRequest-Id: %s\r\nApi-Key: %s\r\nPrompt-Prefix: aa:100,%s:50\r\nRequest-Timeout-Ms: 4000\r\n\r\n%s", kind.head, id, key, id, kind.body)
}

var leftKinds = []leftKind{
	{"stream-with-length", "POST /chat/x HTTP/1.1\r\nModel: *\r\nContent-Length: 4\r\n", "body", 4 * time.Second},
	{"stream-in-chunks", "POST /chat/x HTTP/1.1\r\nModel: *\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", 4 * time.Second},
	{"read", "GET /read/x HTTP/1.1\r\n", "", 2 * time.Second},
	{"fee", "POST /fee/x HTTP/1.1\r\nContent-Length: 4\r\n", "body", 2 * time.Second},
}

// Guards against requests that are sent to endpoints after their callers left while the entries were paused, and against
// requests that have more time at an endpoint than their callers wait.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	program := buildEntry(t)
	for _, cores := range []string{"1", "5"} {
		t.Run("cores-"+cores, func(t *testing.T) {
			t.Setenv("GOMAXPROCS", cores)
			s := newSiteWithLease(t, program, pausedLease)
			k := &soak{site: s, t: t}
			k.waitReady(5 * time.Second)
			for i, kind := range leftKinds {
				k.warm()
				k.leavePaused(kind, fmt.Sprintf("%d", i))
			}
			if t.Failed() {
				k.saveLogs(0)
			}
		})
	}
}

// warm has the entries keep idle connections to endpoints.
func (k *soak) warm() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	k.mu.Lock()
	key := k.keys[0]
	k.mu.Unlock()
	var all sync.WaitGroup
	for i := range leavingCallers {
		all.Go(func() {
			p := k.entries[i%len(k.entries)]
			k.warmed.Add(1)
			k.send(client, p, [...]string{"chat", "read"}[i/len(k.entries)%2], key, fmt.Sprintf("warm-%d", i))
		})
	}
	all.Wait()
}

// leavePaused has callers send whole requests to entries that are paused. Most of them leave before the entries go on,
// the others must be answered.
func (k *soak) leavePaused(kind leftKind, prefix string) {
	k.t.Helper()
	k.signalAll(syscall.SIGSTOP)
	for _, p := range k.entries {
		p.waitStopped(k.t)
	}
	var left, stayed sync.WaitGroup
	failed := make(chan string, stayingCallers)
	for i := range leavingCallers + stayingCallers {
		p := k.entries[i%len(k.entries)]
		c, err := net.Dial("tcp4", strings.TrimPrefix(p.base, "http://"))
		if err != nil {
			k.t.Fatal(err)
		}
		id := fmt.Sprintf("left-%s-%d", prefix, i)
		if i >= leavingCallers {
			id = fmt.Sprintf("stay-%s-%d", prefix, i)
		}
		if _, err = fmt.Fprint(c, kind.request(id, k.keys[0])); err != nil {
			k.t.Fatal(err)
		}
		if i < leavingCallers {
			left.Go(func() { time.Sleep(leaveAfter); _ = c.Close() })
			continue
		}
		stayed.Go(func() {
			defer c.Close()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				failed <- fmt.Sprint(id, " got ", err)
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				failed <- fmt.Sprint(id, " got ", resp.StatusCode)
			}
		})
	}
	left.Wait()
	time.Sleep(resumeAfter)
	k.signalAll(syscall.SIGCONT)
	stayed.Wait()
	time.Sleep(time.Second)
	close(failed)
	for f := range failed {
		k.t.Errorf("%s: %s", kind.name, f)
	}
	sends := 0
	for _, e := range k.allEndpoints() {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.ID, "left-"+prefix) {
				sends++
			}
			if strings.HasPrefix(r.ID, "stay-"+prefix) {
				k.checkHanded(kind, r)
			}
		}
	}
	if sends > 0 {
		k.t.Errorf("%s: %d of %d requests were sent on after their callers left", kind.name, sends, leavingCallers)
	}
}

// behindKind is a kind of request with bytes of the same connection behind it.
type behindKind struct {
	leftKind
	behind string
}

// nextRequest is the beginning of another request, which a caller sends before it has the answer to the first one.
const nextRequest = "GET /read/next HTTP/1.1\r\nHost: h.example\r\n\r\n"

var behindKinds = []behindKind{
	{leftKinds[2], ""},
	{leftKinds[2], "G"},
	{leftKinds[2], nextRequest},
	{leftKinds[0], ""},
	{leftKinds[0], "\r\n"},
	{leftKinds[0], nextRequest},
	{leftKinds[1], "\r\n"},
}

const (
	// slowAnswer is how long endpoints work on requests of callers that leave meanwhile.
	slowAnswer = 3 * time.Second
	// behindAfter is when the bytes behind a request are sent: the entry has read the request by then.
	behindAfter = 50 * time.Millisecond
	// leaveMidway is when these callers close their connections, knownAfter when their endpoints must have stopped.
	leaveMidway = 400 * time.Millisecond
	knownAfter  = 600 * time.Millisecond
	// midwayCallers is the number of these callers, midwayWorking how many of their requests may still be worked on.
	midwayCallers = 30
	midwayWorking = midwayCallers / 4
)

// Guards against endpoints that go on working for callers that sent more bytes behind their request before they left.
func TestCallersThatSentMoreAreSeenToLeave(t *testing.T) {
	program := buildEntry(t)
	for i, kind := range behindKinds {
		t.Run(fmt.Sprintf("%d-%s", i, kind.name), func(t *testing.T) {
			k := &soak{site: newSiteWithLease(t, program, pausedLease), t: t}
			k.waitReady(5 * time.Second)
			k.warm()
			for _, e := range k.allEndpoints() {
				e.setFault(func() standin.Reply { return standin.Reply{BreakAfter: -1, Delay: slowAnswer} })
			}
			k.leaveMidway(kind, fmt.Sprintf("more-%d-", i))
			if t.Failed() {
				k.saveLogs(uint64(i))
			}
		})
	}
}

// leaveMidway has callers leave while endpoints work on their requests.
func (k *soak) leaveMidway(kind behindKind, prefix string) {
	k.t.Helper()
	var left sync.WaitGroup
	for i := range midwayCallers {
		c, err := net.Dial("tcp4", strings.TrimPrefix(k.entries[i%len(k.entries)].base, "http://"))
		if err != nil {
			k.t.Fatal(err)
		}
		if _, err = fmt.Fprint(c, kind.request(fmt.Sprint(prefix, i), k.keys[0])); err != nil {
			k.t.Fatal(err)
		}
		left.Go(func() {
			time.Sleep(behindAfter)
			_, _ = fmt.Fprint(c, kind.behind)
			time.Sleep(leaveMidway - behindAfter)
			_ = c.Close()
		})
	}
	left.Wait()
	time.Sleep(knownAfter)
	runs, working := 0, 0
	for _, e := range k.allEndpoints() {
		for _, r := range e.Runs() {
			if !strings.HasPrefix(r.ID, prefix) {
				continue
			}
			runs++
			if !r.Disconnected {
				working++
			}
		}
	}
	k.t.Logf("%s with %q behind it: %d of %d runs go on %s after the callers left", kind.name, kind.behind, working, runs, knownAfter)
	if runs < midwayCallers || working > midwayWorking {
		k.t.Errorf("%s with %q behind it: %d of %d runs go on %s after the callers left", kind.name, kind.behind, working, runs, knownAfter)
	}
}

// checkHanded checks that a request that lay unread for a while is given no more time at an endpoint than its caller
// has left.
func (k *soak) checkHanded(kind leftKind, r standin.Run) {
	millis, err := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
	handed, left := time.Duration(millis)*time.Millisecond, kind.timeout-leaveAfter-resumeAfter
	if err != nil || handed > left+handedSlack {
		k.t.Errorf("%s: %s has %s at its endpoint, its caller has %s left", kind.name, r.ID, handed, left)
	}
}
