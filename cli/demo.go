package cli

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

//go:embed demo.toml
var demoTables []byte

// demoKey is the bearer key whose hash is in the demo's tables.
const demoKey = "demo-key"

type demoCommand struct {
	command
	Direct bool `long:"direct" description:"run an entry that sends straight to endpoints, over stand-ins of a platform's store"`
}

func addDemo(p *flags.Parser) error {
	c := &demoCommand{}
	c.run = func(ctx context.Context, _ []string) error {
		if c.Direct {
			return DirectDemo(ctx, os.Stdout)
		}
		return Demo(ctx, os.Stdout)
	}
	_, err := p.AddCommand("demo", "Run the whole system on this machine with stand-ins",
		"Demo runs two entries, four model endpoints and a plain service in two availability zones over stand-ins of the platform and the engines, serves a few requests and shows what became of them.", c)
	return err
}

// Demo runs the whole system in this process, sends requests to it and prints their outcomes and
// bills.
func Demo(ctx context.Context, w io.Writer) (err error) {
	l := newLocal()
	l.platform.SetQuality("small@1", 0.72)
	l.platform.SetQuality("large@1", 0.95)
	if err = l.start(ctx, engineParams{firstToken: 20, tokenGap: 5, tokens: 12}); err != nil {
		return err
	}
	defer l.stop()
	if err = l.publishDemo(ctx); err != nil {
		return err
	}
	if err = l.waitReady(ctx, demoKey); err != nil {
		return err
	}
	served, err := l.sendDemoRequests(ctx)
	if err != nil {
		return err
	}
	return l.printDemo(ctx, w, served)
}

func (l *local) publishDemo(ctx context.Context) (err error) {
	change, err := table.ParseChange(l.tables)
	if err != nil {
		return err
	}
	op, err := l.operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout.Duration())
	defer cancel()
	verdict, err := op.Publish(ctx, change)
	if err != nil {
		return err
	}
	_, err = op.WaitInForce(ctx, verdict.Revision)
	return err
}

// servedRequest is the outcome of one request of the demo.
type servedRequest struct {
	id, route, version, entry string
	firstByte, total          time.Duration
}

// sendDemoRequests sends a request for each route and service to each entry.
func (l *local) sendDemoRequests(ctx context.Context) (served []servedRequest, err error) {
	for i := range l.callers {
		for _, route := range []string{"quick", "dossier"} {
			s, err := l.sendDemoChat(ctx, i, route)
			if err != nil {
				return nil, fmt.Errorf("cli: demo: route %s: %w", route, err)
			}
			served = append(served, s)
		}
		s, err := l.sendDemoCall(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("cli: demo: service records: %w", err)
		}
		served = append(served, s)
	}
	return served, nil
}

func (l *local) sendDemoChat(ctx context.Context, entry int, route string) (s servedRequest, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"When is my licence due for renewal?"}]}`, route)
	start := time.Now()
	first := time.Duration(0)
	a, err := l.caller(entry, demoKey).Complete(ctx, []byte(body), client.Options{}, func(string) {
		if first == 0 {
			first = time.Since(start)
		}
	})
	return servedRequest{id: a.Request, route: route, version: a.Version, entry: fmt.Sprint("entry-", entry), firstByte: first, total: time.Since(start)}, err
}

func (l *local) sendDemoCall(ctx context.Context, entry int) (s servedRequest, err error) {
	start := time.Now()
	resp, err := l.caller(entry, demoKey).Do(ctx, http.MethodPost, "/v1/services/records/renewals", strings.NewReader("renew"), client.Options{})
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	first := time.Since(start)
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return s, err
	}
	return servedRequest{id: resp.Header.Get("Parsleydeal-Request"), route: "records", version: "-", entry: fmt.Sprint("entry-", entry), firstByte: first, total: time.Since(start)}, nil
}

// printDemo waits for the bills of all requests and prints each request with its bill.
func (l *local) printDemo(ctx context.Context, w io.Writer, served []servedRequest) (err error) {
	var bills map[string]*wire.Bill
	err = waitUntil(ctx, func() bool {
		bills, err = l.bills()
		return err != nil || len(bills) >= len(served)
	})
	if err != nil {
		return err
	}
	for _, s := range served {
		b, ok := bills[s.id]
		if !ok {
			return fmt.Errorf("cli: demo: request %s has no bill; requests with a bill: %v", s.id, slices.Sorted(maps.Keys(bills)))
		}
		if _, err = fmt.Fprintf(w, "route %-8s %s version %-8s cost %5d micro-units, first token %4d ms, whole after %4d ms, 1 bill of %d step\n",
			s.route, s.entry, s.version, bill.Cost(b), s.firstByte.Milliseconds(), s.total.Milliseconds(), len(b.GetSteps())); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "%d requests, %d bills\n", len(served), len(bills))
	return err
}

// bills merges the bills on the log into one per request.
func (l *local) bills() (out map[string]*wire.Bill, err error) {
	out = make(map[string]*wire.Bill)
	for _, data := range l.platform.Records(provider.BillStream) {
		bills, err := bill.Decode(data)
		if err != nil {
			return nil, err
		}
		for _, b := range bills {
			out[b.GetRequest()] = bill.Merge(out[b.GetRequest()], b)
		}
	}
	return out, nil
}
