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

// localTimeout limits the wait for a condition, which a healthy system meets almost at once.
const localTimeout = 60 * clock.Second

// local is a complete system in one process, connected over loopback: it runs the code of the
// daemons with stand-ins for the platform, the engines and a plain service (one that is not a
// model).
type local struct {
	platform *standin.Platform
	engines  map[string]*standin.Engine
	plain    *standin.Plain
	vms      []provider.VM
	base     string
	callers  []string
	// scheme and http are the URL scheme of all interfaces and the callers' HTTP client.
	scheme string
	http   *http.Client
	// operatorsHTTP is the HTTP client for the operators' interfaces.
	operatorsHTTP *http.Client
	log           *log.Logger
	// tables is the change that is published first.
	tables []byte
	// adjust changes the settings of each process, and of the operators' client, before use.
	adjust func(s *settings.Settings)
	// cancelByVM holds the functions that stop a single process, by its VM.
	cancelByVM map[string]context.CancelFunc
	processes  []func()
	// standinsCtx is the context of the stand-ins, which run until all processes have stopped.
	standinsCtx                 context.Context
	stopProcesses, stopStandins context.CancelFunc
	wg                          sync.WaitGroup
	mu                          sync.Mutex
	// operators holds the addresses of the operators' interfaces of all processes.
	operators []string
	// reserved holds the listeners that were opened for processes that have not started yet, by
	// address.
	reserved map[string]net.Listener
}

// daemonFunc runs a daemon, which opens its listeners by calling listen.
type daemonFunc func(ctx context.Context, s settings.Settings, l *log.Logger, listen daemon.ListenFunc) (err error)

// engineParams are the latencies and the answer length of the stand-in engines.
type engineParams struct {
	firstToken, tokenGap clock.Millis
	tokens               int
}

func newLocal() *local {
	return &local{
		scheme: "http://", http: http.DefaultClient, operatorsHTTP: http.DefaultClient, tables: demoTables, platform: standin.NewPlatform(), engines: make(map[string]*standin.Engine), plain: standin.NewPlain(),
		log: log.NewWithOptions(os.Stderr, log.Options{Level: log.WarnLevel}), adjust: func(*settings.Settings) {}, cancelByVM: make(map[string]context.CancelFunc), reserved: make(map[string]net.Listener),
	}
}

// start runs two availability zones, each with an entry and two model endpoints. The first zone
// also has a plain service.
func (l *local) start(ctx context.Context, params engineParams) (err error) {
	ctx, l.stopProcesses = context.WithCancel(ctx)
	l.standinsCtx, l.stopStandins = context.WithCancel(context.WithoutCancel(ctx))
	if l.base, err = serve(l.standinsCtx, l.platform.Handler()); err != nil {
		return err
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		if err = l.startZone(ctx, zone, i, params); err != nil {
			return err
		}
	}
	if err = l.startEndpoint(ctx, "records-0", "zone-a", settings.Endpoint{Pool: "records", Plain: true}, l.plain.Handler()); err != nil {
		return err
	}
	l.platform.SetVMs(l.vms)
	for _, run := range l.processes {
		l.wg.Go(run)
	}
	return nil
}

// setGoodQuality makes the stand-in rater find a high quality for both versions, so that each route
// of the demo's tables always has a version that meets its quality target.
func (l *local) setGoodQuality() {
	const good = 0.98
	l.platform.SetQuality("small@1", good)
	l.platform.SetQuality("large@1", good)
}

// stop stops the processes first and the stand-ins after them, since a stopping process still
// writes its bills to the stand-in log.
func (l *local) stop() {
	l.stopProcesses()
	l.wg.Wait()
	l.stopStandins()
}

func (l *local) startZone(ctx context.Context, zone string, number int, params engineParams) (err error) {
	for i, pool := range []string{"small", "large"} {
		vm := fmt.Sprintf("endpoint-%d-%d", number, i)
		l.engines[vm] = standin.NewEngine(params.firstToken, params.tokenGap, params.tokens)
		if err = l.startEndpoint(ctx, vm, zone, settings.Endpoint{Pool: pool}, l.engines[vm].Handler()); err != nil {
			return err
		}
	}
	s := l.settings(fmt.Sprintf("entry-%d", number), zone)
	s.Entry.Callers = l.reserve()
	l.adjust(&s)
	l.vms = append(l.vms, provider.VM{ID: s.VM, Role: provider.EntryRole, Zone: zone, Region: s.Region, Address: s.Peer})
	l.callers = append(l.callers, s.Entry.Callers)
	l.addProcess(ctx, s, daemon.RunEntryOn)
	return nil
}

func (l *local) startEndpoint(ctx context.Context, vm, zone string, e settings.Endpoint, engine http.Handler) (err error) {
	s := l.settings(vm, zone)
	s.Endpoint = e
	if s.Endpoint.Engine, err = serve(l.standinsCtx, engine); err != nil {
		return err
	}
	l.adjust(&s)
	l.vms = append(l.vms, provider.VM{ID: s.VM, Role: provider.EndpointRole, Pool: e.Pool, Zone: zone, Region: s.Region, Address: s.Peer})
	l.addProcess(ctx, s, daemon.RunEndpointOn)
	return nil
}

// addProcess registers a process to be started once the VM list is complete, so that no process
// reads an incomplete list.
func (l *local) addProcess(ctx context.Context, s settings.Settings, run daemonFunc) {
	ctx, l.cancelByVM[s.VM] = context.WithCancel(ctx)
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

// operator returns an operators' client for the system.
func (l *local) operator() (*client.Operator, error) {
	s := settings.Default()
	s.Platform = l.base
	l.adjust(&s)
	return newOperator(s)
}

// caller returns a client for one entry with a caller's bearer key.
func (l *local) caller(entry int, key string) *client.Caller {
	return &client.Caller{Base: l.scheme + l.callers[entry], Key: key, HTTP: l.http}
}

// waitReady waits until every process is ready and every entry lists a model. It waits for the
// endpoints too, as the readiness of an entry does not depend on theirs and a request sent to an
// endpoint that is not ready is refused.
func (l *local) waitReady(ctx context.Context, key string) (err error) {
	for _, address := range l.operators {
		if err = waitUntil(ctx, func() bool { return l.isReady(ctx, address) }); err != nil {
			return err
		}
	}
	for i := range l.callers {
		c := l.caller(i, key)
		err = waitUntil(ctx, func() bool {
			names, err := c.Models(ctx)
			return err == nil && len(names) > 0
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// isReady queries the readiness of the process with this operators' address.
func (l *local) isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.scheme+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := l.operatorsHTTP.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitUntil polls a condition until it is met. It returns an error after localTimeout or when the
// context ends.
func waitUntil(ctx context.Context, ok func() bool) (err error) {
	const pollInterval = 20 * clock.Millis(1)
	end := time.Now().Add(localTimeout.Duration())
	for !ok() {
		if time.Now().After(end) || !clock.Pause(ctx, pollInterval) {
			return errors.New("cli: the system did not become ready")
		}
	}
	return nil
}

// serve serves a handler on a free loopback port until the context ends and returns its base URL.
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

// reserve opens a listener on a free loopback port for a process that starts later and returns its
// address. The listener stays open, as another program could otherwise take the port before the
// process starts.
func (l *local) reserve() (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.log.Error("Opening a listener on a free port failed", "error", logbook.Text(err))
		return ""
	}
	address = lis.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[address] = lis
	return address
}

// listen returns the reserved listener for an address and opens a new one if there is none.
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
