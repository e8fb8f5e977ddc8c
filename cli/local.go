package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/daemon"

	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
)

// localPatience bounds the wait for a condition that a healthy system reaches
// in a moment.
const localPatience = 60 * clock.Second

// local is a whole system in one process over loopback: stand-ins of the
// platform, engines and a plain service, and the daemons' own code.
type local struct {
	platform *standin.Platform
	engines  map[string]*standin.Engine
	plain    *standin.Plain
	vms      []provider.VM
	base     string
	callers  []string
	// scheme and http are how callers reach the entries.
	scheme string
	http   *http.Client
	// watch asks the operators' interfaces.
	watch *http.Client
	log   *log.Logger
	// tables is the change that is published first.
	tables []byte
	// adjust changes each process's settings before it starts.
	adjust func(s *settings.Settings)
	// stops ends one process each, by VM.
	stops     map[string]context.CancelFunc
	processes []func()
	// standins is the context of the stand-ins, which outlive the processes.
	standins                    context.Context
	stopProcesses, stopStandins context.CancelFunc
	wg                          sync.WaitGroup
	mu                          sync.Mutex
	// operators holds the addresses of the processes' operators' interfaces.
	operators []string
	// reserved holds listeners by address until their process takes them.
	reserved map[string]net.Listener
}

// localFunc runs a daemon over listeners that are already open.
type localFunc func(ctx context.Context, s settings.Settings, l *log.Logger, listen daemon.ListenFunc) (err error)

// localShape says what the engines answer.
type localShape struct {
	first, gap clock.Millis
	tokens     int
}

func newLocal() *local {
	return &local{
		scheme: "http://", http: http.DefaultClient, watch: http.DefaultClient, tables: demoTables, platform: standin.NewPlatform(), engines: make(map[string]*standin.Engine), plain: standin.NewPlain(),
		log: log.NewWithOptions(os.Stderr, log.Options{Level: log.WarnLevel}), adjust: func(*settings.Settings) {}, stops: make(map[string]context.CancelFunc), reserved: make(map[string]net.Listener),
	}
}

// start runs two availability zones with an entry and two model endpoints
// each, and a plain service in the first.
func (l *local) start(ctx context.Context, shape localShape) (err error) {
	ctx, l.stopProcesses = context.WithCancel(ctx)
	l.standins, l.stopStandins = context.WithCancel(context.WithoutCancel(ctx))
	if l.base, err = serve(l.standins, l.platform.Handler()); err != nil {
		return err
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		if err = l.startZone(ctx, zone, i, shape); err != nil {
			return err
		}
	}
	if err = l.startGate(ctx, "records-0", "zone-a", settings.Endpoint{Pool: "records", Plain: true}, l.plain.Handler()); err != nil {
		return err
	}
	l.platform.SetVMs(l.vms)
	for _, run := range l.processes {
		l.wg.Go(run)
	}
	return nil
}

// rateWell has the stand-in rater find both versions good, so that no route of
// the demo's tables runs out of versions that meet its target.
func (l *local) rateWell() {
	const good = 0.98
	l.platform.SetQuality("small@1", good)
	l.platform.SetQuality("large@1", good)
}

// stop stops the processes, and the stand-ins once no process needs them: a
// stopping process hands its bills to the log.
func (l *local) stop() {
	l.stopProcesses()
	l.wg.Wait()
	l.stopStandins()
}

func (l *local) startZone(ctx context.Context, zone string, number int, shape localShape) (err error) {
	for i, pool := range []string{"small", "large"} {
		vm := fmt.Sprintf("endpoint-%d-%d", number, i)
		l.engines[vm] = standin.NewEngine(shape.first, shape.gap, shape.tokens)
		if err = l.startGate(ctx, vm, zone, settings.Endpoint{Pool: pool}, l.engines[vm].Handler()); err != nil {
			return err
		}
	}
	s := l.settings(fmt.Sprintf("entry-%d", number), zone)
	s.Entry.Callers = l.reserve()
	l.adjust(&s)
	l.vms = append(l.vms, provider.VM{ID: s.VM, Role: provider.EntryRole, Zone: zone, Region: s.Region, Address: s.Peer})
	l.callers = append(l.callers, s.Entry.Callers)
	l.spawn(ctx, s, daemon.RunEntryOn)
	return nil
}

func (l *local) startGate(ctx context.Context, vm, zone string, e settings.Endpoint, engine http.Handler) (err error) {
	s := l.settings(vm, zone)
	s.Endpoint = e
	if s.Endpoint.Engine, err = serve(l.standins, engine); err != nil {
		return err
	}
	l.adjust(&s)
	l.vms = append(l.vms, provider.VM{ID: s.VM, Role: provider.EndpointRole, Pool: e.Pool, Zone: zone, Region: s.Region, Address: s.Peer})
	l.spawn(ctx, s, daemon.RunEndpointOn)
	return nil
}

// spawn keeps a process until the VM list is complete, so that none reads an
// empty one first.
func (l *local) spawn(ctx context.Context, s settings.Settings, run localFunc) {
	ctx, l.stops[s.VM] = context.WithCancel(ctx)
	l.operators = append(l.operators, s.Operators)
	l.processes = append(l.processes, func() {
		if err := run(ctx, s, l.log, l.listen); err != nil {
			l.log.Error("Process failed", "vm", s.VM, "error", logbook.Text(err))
		}
	})
}

func (l *local) settings(vm, zone string) settings.Settings {
	s := settings.Default()
	s.VM, s.Zone, s.Region = vm, zone, "demo"
	s.Peer, s.Operators = l.reserve(), l.reserve()
	s.Platform = l.base
	s.VMListInterval = 100
	s.Entry.LeaveDelay = 0
	s.Session = settings.Session{Keys: map[string]string{"demo": "no secret, for the demo alone does it stand"}, Current: "demo"}
	return s
}

// operator returns the operators' client of the system.
func (l *local) operator() (*client.Operator, error) {
	s := settings.Default()
	s.Platform = l.base
	l.adjust(&s)
	return newOperator(s)
}

// caller returns a callers' client of one entry.
func (l *local) caller(entry int, key string) *client.Caller {
	return &client.Caller{Base: l.scheme + l.callers[entry], Key: key, HTTP: l.http}
}

// waitReady waits until every process is ready and a route can be named at every
// entry. An entry is ready without its endpoints, as it must be where all of a pool
// are out; a request sent before these are would be refused.
func (l *local) waitReady(ctx context.Context, key string) (err error) {
	for _, address := range l.operators {
		if err = until(ctx, func() bool { return l.isReady(ctx, address) }); err != nil {
			return err
		}
	}
	for i := range l.callers {
		c := l.caller(i, key)
		err = until(ctx, func() bool {
			names, err := c.Models(ctx)
			return err == nil && len(names) > 0
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// isReady asks a process at its operators' address.
func (l *local) isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.scheme+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := l.watch.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until polls for a condition.
func until(ctx context.Context, ok func() bool) (err error) {
	const every = 20 * clock.Millis(1)
	end := time.Now().Add(localPatience.Duration())
	for !ok() {
		if time.Now().After(end) || !clock.Pause(ctx, every) {
			return errors.New("cli: the system did not get ready")
		}
	}
	return nil
}

// serve runs a handler on a free port until the context ends.
func serve(ctx context.Context, h http.Handler) (url string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: clock.Millis(clock.Second).Duration()}
	go func() { _ = srv.Serve(lis) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return "http://" + lis.Addr().String(), nil
}

// reserve opens a listener on a free port and keeps it for the process that
// will listen there. An address that is only found free and closed again may be
// taken by another program before the process starts.
func (l *local) reserve() (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.log.Error("No address is free", "error", logbook.Text(err))
		return ""
	}
	address = lis.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[address] = lis
	return address
}

// listen hands out a reserved listener.
func (l *local) listen(network, address string) (lis net.Listener, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lis, ok := l.reserved[address]
	if !ok {
		return net.Listen(network, address)
	}
	delete(l.reserved, address)
	return lis, nil
}
