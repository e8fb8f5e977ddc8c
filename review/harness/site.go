// Package harness runs a small deployment for the cases of the review: entries of the deploy file as separate processes,
// with a stand-in of the platform's store, replicas and clients of its own, all on loopback addresses.
package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
	loopback "github.com/parsleydeal/parsleydeal/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// program is the deployed program, as the deploy file builds it.
const program = "target/parsleydeal-entry"

// Record is the log of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (r *Record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Logf writes a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Site is a deployment: a store, entries and replicas.
type Site struct {
	Store   *standin.Store
	Record  *Record
	Entries []*Entry
	dir     string
	servers []*http.Server
}

// NewSite starts a store without records.
func NewSite(r *Record) (s *Site, err error) {
	s = &Site{Store: standin.NewStore(), Record: r}
	s.dir, err = os.MkdirTemp("", "review")
	return s, err
}

// Serve serves a handler on a free loopback port until the site is closed.
func (s *Site) Serve(h http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// PutConfig writes a configuration as the operator does.
func (s *Site) PutConfig(c map[string]any) (err error) {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.Store.Put("keyed.op", "config", data)
	s.Record.Logf("operator: configuration %v is acknowledged", c["version"])
	return nil
}

// Close ends all processes and servers that the site started.
func (s *Site) Close() {
	for _, e := range s.Entries {
		e.Signal(syscall.SIGCONT)
		e.Signal(syscall.SIGKILL)
		<-e.done()
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// Entry is an entry that runs as a separate process.
type Entry struct {
	Name    string
	Callers string
	ready   string
	path    string
	mu      sync.Mutex
	// cmd is the entry's process, and ended is closed when it has ended.
	cmd   *exec.Cmd
	ended chan struct{}
	// Store is the way of the entry to the store.
	Store *StoreAccess
}

// settings is the file that the template of the deploy file gives with the bounds of the site sicil-hat.
const settings = `vm = %q
zone = %q
region = "anadolu"
peer = %q
operators = %q

[entry]
callers = %q

[direct]
store = %q
ready = %q
memory = 284
grace = "8s"
strict-keys = true
key-lease = "5000ms"
retry-ratio = 0.9
retry-slack = 54
retry-span = "10s"
exposure = 0.15
cold-overage = 1.5
cold-slack = 5
session-life = "5s"
`

// StartEntry starts an entry in a zone and waits until it is ready.
func (s *Site) StartEntry(name, zone string) (e *Entry, err error) {
	e = &Entry{Name: name, Callers: loopback.FreeAddress(), ready: loopback.FreeAddress()}
	e.Store = &StoreAccess{handler: s.Store.Handler()}
	store, err := s.Serve(e.Store)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf(settings, name, zone, loopback.FreeAddress(), loopback.FreeAddress(), e.Callers, store, e.ready)
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e.path = path
	s.Entries = append(s.Entries, e)
	if err = e.start(); err != nil {
		return nil, err
	}
	return e, e.awaitReady()
}

// start starts the entry's process.
func (e *Entry) start() (err error) {
	log, err := os.OpenFile(strings.TrimSuffix(e.path, ".toml")+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd, ended := exec.Command(program, "--settings", e.path), make(chan struct{})
	// Machines of the platform show one core.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	e.mu.Lock()
	e.cmd, e.ended = cmd, ended
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Restart stops an entry as the platform does for planned work, with SIGTERM and after limit with SIGKILL, and starts it
// again after a delay.
func (s *Site) Restart(e *Entry, limit, delay time.Duration) {
	s.Record.Logf("%s gets SIGTERM", e.Name)
	e.Signal(syscall.SIGTERM)
	select {
	case <-e.done():
	case <-time.After(limit):
		e.Signal(syscall.SIGKILL)
		<-e.done()
	}
	s.Record.Logf("%s has ended", e.Name)
	time.Sleep(delay)
	if err := e.start(); err != nil {
		s.Record.Logf("%s does not start: %v", e.Name, err)
		return
	}
	if err := e.awaitReady(); err != nil {
		s.Record.Logf("%v", err)
		return
	}
	s.Record.Logf("%s is ready", e.Name)
}

// Signal sends a signal to the entry's process.
func (e *Entry) Signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(sig)
	}
}

// done returns a channel that is closed when the entry's process has ended.
func (e *Entry) done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Ended reports whether the process has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.done():
		return true
	default:
		return false
	}
}

const readyTimeout = 15 * time.Second

// IsReady asks the entry whether it takes connections, as the platform does.
func (e *Entry) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *Entry) awaitReady() (err error) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.IsReady() {
			return nil
		}
		if e.Ended() {
			return errors.New(e.Name + " ended")
		}
	}
	return errors.New(e.Name + " is not ready")
}
