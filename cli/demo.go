package cli

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
	"github.com/parsleydeal/parsleydeal/table"
)

//go:embed demo.toml
var demoTables []byte

// demoKey is the bearer key whose hash stands in the demo's tables.
const demoKey = "demo-key"

type demoCommand struct{ command }

func addDemo(p *flags.Parser) error {
	c := &demoCommand{}
	c.run = func(ctx context.Context, _ []string) error { return Demo(ctx, os.Stdout) }
	_, err := p.AddCommand("demo", "Run the whole system on this machine with stand-ins",
		"Demo runs two entries and four endpoints in two availability zones over stand-ins of the platform and the engines, and serves a few requests.", c)
	return err
}

// demo is a whole system in one process.
type demo struct {
	platform *standin.Platform
	vms      []platform.VM
	base     string
	callers  []string
	engines  []*standin.Engine
	// processes start when the VM list is complete, so that none reads an empty
	// one first.
	processes []func() error
	log       *log.Logger
}

// Demo runs the whole system in this process, serves requests and prints what
// became of them.
func Demo(ctx context.Context, w io.Writer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{platform: standin.NewPlatform(), log: log.NewWithOptions(os.Stderr, log.Options{Level: log.WarnLevel})}
	if err = d.start(ctx); err != nil {
		return err
	}
	if err = d.publish(ctx); err != nil {
		return err
	}
	if err = d.waitReady(ctx); err != nil {
		return err
	}
	for _, route := range []string{"quick", "dossier"} {
		if err = d.ask(ctx, w, route); err != nil {
			return err
		}
	}
	return d.bills(w)
}

func (d *demo) start(ctx context.Context) (err error) {
	if d.base, err = serve(ctx, d.platform.Handler()); err != nil {
		return err
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		if err = d.startZone(ctx, zone, i); err != nil {
			return err
		}
	}
	d.platform.SetVMs(d.vms)
	for _, f := range d.processes {
		d.spawn(f)
	}
	return nil
}

func (d *demo) startZone(ctx context.Context, zone string, number int) (err error) {
	const first, gap, tokens = 20, 5, 12
	for i, pool := range []string{"small", "large"} {
		engine := standin.NewEngine(first, gap, tokens)
		d.engines = append(d.engines, engine)
		url, err := serve(ctx, engine.Handler())
		if err != nil {
			return err
		}
		s := d.settings(fmt.Sprintf("endpoint-%d-%d", number, i), zone)
		s.Endpoint = settings.Endpoint{Pool: pool, Engine: url}
		d.vms = append(d.vms, platform.VM{ID: s.VM, Role: platform.EndpointRole, Pool: pool, Zone: zone, Region: s.Region, Address: s.Peer})
		d.processes = append(d.processes, func() error { return RunEndpoint(ctx, s, d.log) })
	}
	s := d.settings(fmt.Sprintf("entry-%d", number), zone)
	s.Entry.Callers = standin.FreeAddress()
	d.vms = append(d.vms, platform.VM{ID: s.VM, Role: platform.EntryRole, Zone: zone, Region: s.Region, Address: s.Peer})
	d.callers = append(d.callers, s.Entry.Callers)
	d.processes = append(d.processes, func() error { return RunEntry(ctx, s, d.log) })
	return nil
}

func (d *demo) spawn(f func() error) {
	go func() {
		if err := f(); err != nil {
			d.log.Error("Process of the demo failed", "error", err)
		}
	}()
}

func (d *demo) settings(vm, zone string) settings.Settings {
	s := settings.Default()
	s.VM, s.Zone, s.Region = vm, zone, "demo"
	s.Peer = standin.FreeAddress()
	s.Platform = d.base
	s.VMListEvery = 100
	s.Session = settings.Session{Keys: map[string]string{"demo": "not a secret"}, Current: "demo"}
	return s
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

func (d *demo) publish(ctx context.Context) (err error) {
	c, err := table.ParseChange(demoTables)
	if err != nil {
		return err
	}
	if err = c.Tables.Check(); err != nil {
		return err
	}
	_, err = platform.NewHTTP(d.base, http.DefaultClient).Log().Append(ctx, platform.ConfigStream, demoTables)
	return err
}

// waitReady asks for the models until the entries know the tables.
func (d *demo) waitReady(ctx context.Context) (err error) {
	const tries, pause = 200, 50 * time.Millisecond
	for range tries {
		ready := true
		for _, address := range d.callers {
			body, err := get(ctx, "http://"+address+"/v1/models")
			ready = ready && err == nil && strings.Contains(body, "dossier")
		}
		if ready {
			return nil
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("cli: demo did not get ready")
}

func get(ctx context.Context, url string) (body string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// ask streams one chat completion and prints what came of it.
func (d *demo) ask(ctx context.Context, w io.Writer, route string) (err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"When is my licence due for renewal?"}]}`, route)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	first := time.Since(start)
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), "[DONE]") {
		return fmt.Errorf("cli: demo: route %s: status %d: %s", route, resp.StatusCode, data)
	}
	_, err = fmt.Fprintf(w, "route %-8s version %-10s first token %4d ms, whole after %4d ms\n",
		route, resp.Header.Get("Parsleydeal-Version"), first.Milliseconds(), time.Since(start).Milliseconds())
	return err
}

// bills prints the bills on the log and fails when a request has two.
func (d *demo) bills(w io.Writer) (err error) {
	seen := make(map[string]bool)
	for _, data := range d.platform.Records(platform.BillStream) {
		bills, err := bill.Decode(data)
		if err != nil {
			return err
		}
		for _, b := range bills {
			if seen[b.GetRequest()] {
				return fmt.Errorf("cli: demo: request %s has two bills", b.GetRequest())
			}
			seen[b.GetRequest()] = true
			if _, err = fmt.Fprintf(w, "bill %s route %-8s steps %d cost %d micro-units\n", b.GetRequest(), b.GetRoute(), len(b.GetSteps()), bill.Cost(b)); err != nil {
				return err
			}
		}
	}
	return nil
}
