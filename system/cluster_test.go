package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/cli"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/daemon"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/standin"
	"github.com/parsleydeal/parsleydeal/table"
)

// waitTimeout limits the wait for a condition that a healthy system meets much sooner. It is long
// so that a test does not fail only because the machine is busy.
const waitTimeout = 60 * time.Second

const callerKey = "system-key"

// buildDaemons builds the daemons once for all tests of the package and returns the
// directory of the binaries.
var buildDaemons = sync.OnceValues(func() (dir string, err error) {
	dir, err = os.MkdirTemp("", "parsleydeal-system")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build daemons: %w: %s", err, out)
	}
	return dir, nil
})

// programs refers to the daemons' code, so that it is linked into the test binary. The go command
// reuses a cached test result while the test binary is unchanged. Without these references it would
// reuse the result after a change of a daemon.
var programs = []func(args []string) int{daemon.Entry, daemon.Endpoint, cli.Operator}

func TestMain(m *testing.M) {
	if len(programs) == 0 {
		os.Exit(1)
	}
	code := m.Run()
	if dir, err := buildDaemons(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a daemon started by the test.
type process struct {
	vm provider.VM
	// callersAddress is empty for an endpoint.
	callersAddress string
	// operatorsAddress is the address of the operators' interface.
	operatorsAddress string
	settings         string
	program          string
	cmd              *exec.Cmd
	done             chan struct{}
	output           *bytes.Buffer
}

// cluster is a complete system: daemons as processes, stand-ins in the test process.
type cluster struct {
	t         *testing.T
	platform  *standin.Platform
	url       string
	engines   map[string]*standin.Engine
	plain     map[string]*standin.Plain
	entries   []*process
	endpoints []*process
}

// clusterSpec is the size of a cluster and the timing of its engines.
type clusterSpec struct {
	entries   int
	endpoints int
	plain     int
	zones     int
	// firstTokenDelay, tokenGap and tokenCount apply to each answer of the engines.
	firstTokenDelay, tokenGap clock.Millis
	tokenCount                int
	// platformFaults are there from the start.
	platformFaults standin.Faults
}

func newCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(), engines: make(map[string]*standin.Engine), plain: make(map[string]*standin.Plain)}
	srv := httptest.NewServer(c.platform.Handler())
	t.Cleanup(srv.Close)
	c.url = srv.URL
	c.platform.SetQuality("small@1", 1)
	c.platform.SetFaults(s.platformFaults)
	for i := range s.endpoints {
		c.addEndpoint(i, s)
	}
	for i := range s.plain {
		c.addPlain(i, s)
	}
	for i := range s.entries {
		c.addEntry(i, s)
	}
	c.setVMList()
	c.publish(tables)
	for _, p := range append(append([]*process{}, c.endpoints...), c.entries...) {
		c.start(p)
	}
	// Waits for the endpoints first: an entry that was ready before them would spend its retry
	// budget on endpoints that have no tables yet.
	for _, p := range c.endpoints {
		c.waitReady(p)
	}
	for _, p := range c.entries {
		c.waitModels(p)
	}
	return c
}

// waitReady waits until the readiness check of a process passes.
func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	c.eventually(p.vm.ID+" ready", func() bool {
		resp, err := http.Get("http://" + p.operatorsAddress + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

const tables = `
id = "system-1"
author = "test"
kind = "whole"
base = -1
[tables.organisations.desk]
key-hashes = ["%HASH%"]
weight = 1
[tables.versions."small@1"]
input-cost = 100
output-cost = 300
quality = 0.9
[tables.pools.small]
versions = ["small@1"]
cold-window = 8
full-window = 64
resumes = true
[tables.pools.records]
cold-window = 8
full-window = 64
[tables.routes.quick]
organisations = ["desk"]
models = [{ model = "small", shares = { 1 = 1.0 } }]
quality-target = 0.5
[tables.services.records]
pool = "records"
organisations = ["desk"]
repeatable = ["GET"]
fee = 5
`

func (c *cluster) publish(text string) {
	c.t.Helper()
	text = strings.ReplaceAll(text, "%HASH%", table.HashKey(callerKey))
	if _, err := provider.NewHTTP(c.url, http.DefaultClient).Log().Append(c.t.Context(), provider.ConfigStream, []byte(text)); err != nil {
		c.t.Fatalf("publish: %v", err)
	}
}

func (c *cluster) setVMList() {
	var vms []provider.VM
	for _, p := range append(append([]*process{}, c.endpoints...), c.entries...) {
		vms = append(vms, p.vm)
	}
	c.platform.SetVMs(vms)
}

func zoneName(i int, s clusterSpec) string { return fmt.Sprintf("zone-%c", 'a'+i%max(s.zones, 1)) }

func (c *cluster) addEndpoint(i int, s clusterSpec) {
	id := fmt.Sprintf("endpoint-%d", i)
	e := standin.NewEngine(s.firstTokenDelay, s.tokenGap, s.tokenCount)
	c.engines[id] = e
	c.addGate(id, zoneName(i, s), "small", e.Handler(), false)
}

func (c *cluster) addPlain(i int, s clusterSpec) {
	id := fmt.Sprintf("records-%d", i)
	e := standin.NewPlain()
	c.plain[id] = e
	c.addGate(id, zoneName(i, s), "records", e.Handler(), true)
}

func (c *cluster) addGate(id, zone, pool string, h http.Handler, plain bool) {
	srv := httptest.NewServer(h)
	c.t.Cleanup(srv.Close)
	p := &process{program: "parsleydeal-endpoint", vm: provider.VM{ID: id, Role: provider.EndpointRole, Pool: pool, Zone: zone, Region: "here", Address: standin.FreeAddress()}}
	p.settings = c.commonSettings(p) + fmt.Sprintf("[endpoint]\npool = %q\nengine = %q\nplain = %v\n", pool, srv.URL, plain)
	c.endpoints = append(c.endpoints, p)
}

func (c *cluster) addEntry(i int, s clusterSpec) {
	p := &process{program: "parsleydeal-entry", callersAddress: standin.FreeAddress(), vm: provider.VM{ID: fmt.Sprintf("entry-%d", i), Role: provider.EntryRole, Zone: zoneName(i, s), Region: "here", Address: standin.FreeAddress()}}
	p.settings = c.commonSettings(p) + fmt.Sprintf("[entry]\ncallers = %q\n", p.callersAddress)
	c.entries = append(c.entries, p)
}

func (c *cluster) commonSettings(p *process) string {
	p.operatorsAddress = standin.FreeAddress()
	return fmt.Sprintf(`vm = %q
zone = %q
region = "here"
peer = %q
operators = %q
platform = %q
vm-list-every = "100ms"
[session]
current = "k"
[session.keys]
k = "system test secret of enough bytes"
`, p.vm.ID, p.vm.Zone, p.vm.Address, p.operatorsAddress, c.url)
}

func (c *cluster) start(p *process) {
	c.t.Helper()
	dir, err := buildDaemons()
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.t.TempDir(), p.vm.ID+".toml")
	if err = os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p.output = &bytes.Buffer{}
	p.done = make(chan struct{})
	p.cmd = exec.Command(filepath.Join(dir, p.program), "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err = p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", p.vm.ID, p.output)
		}
	})
}

// kill ends the process at once, as if its VM were lost.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop sends SIGTERM and waits until the process has ended.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop", p.vm.ID)
	}
}

func (c *cluster) waitModels(p *process) {
	c.t.Helper()
	c.eventually("models at "+p.vm.ID, func() bool {
		status, _, body := c.call(c.t.Context(), p, http.MethodGet, "/v1/models", "", nil)
		return status == http.StatusOK && strings.Contains(body, "quick")
	})
}

// waitRevision waits until the revision is in force at every process.
func (c *cluster) waitRevision(revision int) {
	c.t.Helper()
	want := fmt.Sprintf("parsleydeal_tables_revision %d", revision)
	for _, p := range append(append([]*process{}, c.endpoints...), c.entries...) {
		c.eventually(fmt.Sprintf("revision %d at %s", revision, p.vm.ID), func() bool {
			resp, err := http.Get("http://" + p.operatorsAddress + "/metrics")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return err == nil && strings.Contains(string(data), want)
		})
	}
}

func (c *cluster) eventually(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("%s: not reached", condition)
}

// call sends one request to an entry. If the connection fails, status is 0 and text
// is the error.
func (c *cluster) call(ctx context.Context, p *process, method, path, body string, h http.Header) (status int, header http.Header, text string) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callersAddress+path, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0, nil, ""
	}
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, resp.Header, err.Error()
	}
	return resp.StatusCode, resp.Header, string(data)
}

// result is a chat answer as received by the caller.
type result struct {
	status   int
	request  string
	runState string
	text     string
	complete bool
}

// streamChat streams a chat completion for the default question.
func (c *cluster) streamChat(p *process, h http.Header) (r result) {
	return c.streamChatAbout(p, h, "When is the renewal due?")
}

// streamChatAbout streams a chat completion for a question. Chats about the same question tend to
// go to the endpoint that has their prefix cached.
func (c *cluster) streamChatAbout(p *process, h http.Header, question string) (r result) {
	body := fmt.Sprintf(`{"model":"quick","stream":true,"messages":[{"role":"user","content":%q}]}`, question)
	status, header, text := c.call(context.Background(), p, http.MethodPost, "/v1/chat/completions", body, h)
	r.status = status
	if status != http.StatusOK {
		c.t.Logf("entry %s replied with %d: %s", p.vm.ID, status, text)
	}
	if header != nil {
		r.request = header.Get("Parsleydeal-Request")
		r.runState = header.Get("Parsleydeal-Run")
	}
	for line := range strings.SplitSeq(text, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			r.text += chunk.Choices[0].Delta.Content
		}
	}
	if status == http.StatusOK && !r.complete {
		c.t.Logf("entry %s ended the stream early: %s", p.vm.ID, text[max(0, len(text)-300):])
	}
	return r
}

// fullText returns the text of a complete answer of the cluster's engines.
func fullText(s clusterSpec) string {
	var b strings.Builder
	for i := range s.tokenCount {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// bills returns the bills on the log, merged by request.
func (c *cluster) bills() map[string]*wire.Bill {
	c.t.Helper()
	out := make(map[string]*wire.Bill)
	for _, data := range c.platform.Records(provider.BillStream) {
		bills, err := bill.Decode(data)
		if err != nil {
			c.t.Fatal(err)
		}
		for _, b := range bills {
			out[b.GetRequest()] = bill.Merge(out[b.GetRequest()], b)
		}
	}
	return out
}
