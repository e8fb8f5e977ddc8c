package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/parsleydeal/parsleydeal/daemon"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/load"
	"github.com/parsleydeal/parsleydeal/provider"
)

// errPromiseBroken is returned if a run found a breach of a checked guarantee or got no complete
// answer.
var errPromiseBroken = errors.New("load: a promise was broken, or no request got a complete answer")

// errWorse is returned if a quantity got worse between two results.
var errWorse = errors.New("load: at least one quantity is worse")

// billTimeout limits the wait for the bills of answered requests.
const billTimeout = 30 * clock.Second

type loadCommand struct {
	command
	Plan     string   `long:"plan" description:"file of a plan in TOML"`
	Local    bool     `long:"local" description:"run the demo's system in this process and load it"`
	Rate     float64  `long:"rate" description:"requests a second, in place of the plan's"`
	Duration string   `long:"duration" description:"how long to send, in place of the plan's"`
	Seed     uint64   `long:"seed" description:"seed, in place of the plan's"`
	Platform string   `long:"platform" short:"p" env:"PARSLEYDEAL_PLATFORM" description:"base URL of the platform's services, to look for each answer's bill"`
	Measure  []string `long:"measure" description:"base URL of an entry's operators' interface, to measure its processor time; may be repeated"`
	Output   string   `long:"output" short:"o" description:"file to write the result to"`
	JSON     bool     `long:"json" description:"write the result as JSON in place of TOML"`
}

type compareResultsCommand struct {
	command
	Tolerance float64 `long:"tolerance" default:"0.1" description:"relative change from which a quantity counts as worse"`
	Args      struct {
		Before string `positional-arg-name:"BEFORE"`
		After  string `positional-arg-name:"AFTER"`
	} `positional-args:"yes" required:"yes"`
}

func addLoad(p *flags.Parser) (err error) {
	c := &loadCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.load(ctx, os.Stdout) }
	parent, err := p.AddCommand("load", "Send bounded load to entries and judge the promises",
		"Load sends a plan's requests when they are due, whatever became of earlier ones, and shows spans, outcomes and a verdict on each promise as a caller sees it. It exits with 1 when a promise was broken.", c)
	if err != nil {
		return err
	}
	parent.SubcommandsOptional = true
	d := &compareResultsCommand{}
	d.run = func(context.Context, []string) error { return d.compare(os.Stdout) }
	_, err = parent.AddCommand("compare", "Compare the results of two builds",
		"Compare sets two results of the same plan side by side. It exits with 1 when something is worse.", d)
	return err
}

func (c *loadCommand) load(ctx context.Context, w io.Writer) (err error) {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	if c.Local {
		l := newLocal()
		if err = l.startForLoad(ctx); err != nil {
			return err
		}
		defer l.stop()
		l.fillPlan(&plan)
		c.Platform = l.base
	}
	cfg := load.Config{Build: daemon.Version(), HTTP: load.NewHTTP(&plan)}
	if c.Platform != "" {
		log := provider.NewHTTP(c.Platform, http.DefaultClient).Log()
		cfg.Unbilled = func(ctx context.Context, requests []string) ([]string, error) { return unbilled(ctx, log, requests) }
	}
	if len(c.Measure) > 0 {
		cfg.ProcessorSeconds = func(ctx context.Context) (float64, error) { return cpuSeconds(ctx, c.Measure) }
	}
	res, err := load.Run(ctx, &plan, cfg)
	if err != nil {
		return err
	}
	return c.show(w, res)
}

func (c *loadCommand) plan() (p load.Plan, err error) {
	p = load.DefaultPlan()
	if c.Plan != "" {
		if p, err = load.ReadPlan(c.Plan); err != nil {
			return p, err
		}
	} else if !c.Local {
		return p, fmt.Errorf("load: --plan or --local is needed: %w", errUsage)
	}
	if c.Rate > 0 {
		p.Rate = c.Rate
	}
	if c.Seed > 0 {
		p.Seed = c.Seed
	}
	if c.Duration != "" {
		if err = p.Duration.UnmarshalText([]byte(c.Duration)); err != nil {
			return p, fmt.Errorf("load: --duration: %w: %w", err, errUsage)
		}
	}
	return p, nil
}

func (c *loadCommand) show(w io.Writer, res *load.Result) (err error) {
	if err = res.Print(w); err != nil {
		return err
	}
	if c.Output != "" {
		if err = res.Save(c.Output, c.JSON); err != nil {
			return err
		}
	}
	if res.Broken() > 0 || res.Completed == 0 {
		return errPromiseBroken
	}
	return nil
}

func (c *compareResultsCommand) compare(w io.Writer) (err error) {
	before, err := load.ReadResult(c.Args.Before)
	if err != nil {
		return err
	}
	after, err := load.ReadResult(c.Args.After)
	if err != nil {
		return err
	}
	list, err := load.Compare(before, after, c.Tolerance)
	if err != nil {
		return err
	}
	worse, err := load.PrintComparison(w, list)
	if err == nil && worse {
		return errWorse
	}
	return err
}

func (l *local) startForLoad(ctx context.Context) (err error) {
	l.setGoodQuality()
	if err = l.start(ctx, engineParams{firstToken: 20, tokenGap: 5, tokens: 12}); err != nil {
		return err
	}
	if err = l.publishDemo(ctx); err == nil {
		err = l.waitReady(ctx, demoKey)
	}
	if err != nil {
		l.stop()
	}
	return err
}

// fillPlan adds the entries of the local system, and the callers and routes of the demo's tables,
// to a plan.
func (l *local) fillPlan(p *load.Plan) {
	for _, address := range l.callers {
		p.Entries = append(p.Entries, l.scheme+address)
	}
	p.Organisations = []load.Organisation{{Name: "registry-desk", Key: demoKey, Weight: 1}}
	p.Routes = []load.Route{
		{Name: "quick", Weight: 5, Versions: []string{"small@1", "large@1"}},
		{Name: "dossier", Weight: 2, Versions: []string{"small@1", "large@1"}},
	}
	p.Services = []load.Service{{Name: "records", Method: http.MethodPost, Path: "renewals", Weight: 2}}
}

// unbilled returns the requests that have no bill on the log. It polls the log until all have one
// or billTimeout has passed.
func unbilled(ctx context.Context, log provider.Log, requests []string) (missing []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, billTimeout.Duration())
	defer cancel()
	remaining := make(map[string]bool, len(requests))
	for _, id := range requests {
		remaining[id] = true
	}
	from := int64(0)
	for len(remaining) > 0 {
		_, next, err := readStream(ctx, log, provider.BillStream, from, 0, func(_ int64, data []byte) {
			bills, err := bill.Decode(data)
			if err != nil {
				return
			}
			for _, b := range bills {
				delete(remaining, b.GetRequest())
			}
		})
		if err == nil {
			from = next
		}
		if !clock.Pause(ctx, clock.Second/5) {
			break
		}
	}
	return slices.Sorted(maps.Keys(remaining)), nil
}

// cpuSeconds returns the total processor time of processes in seconds, read from their metrics
// interfaces.
func cpuSeconds(ctx context.Context, urls []string) (sum float64, err error) {
	for _, base := range urls {
		s, err := readMetric(ctx, base, "process_cpu_seconds_total")
		if err != nil {
			return 0, fmt.Errorf("load: measure %s: %w", base, err)
		}
		sum += s
	}
	return sum, nil
}

func readMetric(ctx context.Context, base, name string) (value float64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		if text, ok := strings.CutPrefix(sc.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, fmt.Errorf("no metric %s", name)
}
