package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/burn"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/operations"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"golang.org/x/sync/errgroup"
)

const (
	burnTimeout = 3 * clock.Second
	burnAtOnce  = 32
)

type burnCommand struct {
	command
	site
	JSON bool   `long:"json" description:"print the verdict as JSON"`
	HTML string `long:"html" description:"write one self-contained page to a file"`
}

func addBurn(p *flags.Parser) error {
	c := &burnCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.report(ctx, os.Stdout) }
	_, err := p.AddCommand("burn", "Show how fast each route spends its error budget",
		"Burn asks every entry in the VM list what it served, merges the answers and prints burn rates, the budget left and the top causes. Entries that do not answer are named.", c)
	return err
}

func (c *burnCommand) report(ctx context.Context, w io.Writer) (err error) {
	op, err := c.operator()
	if err != nil {
		return err
	}
	v, err := Burn(ctx, op.VMs, op.Peers)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		var page bytes.Buffer
		if err = v.WriteHTML(&page); err != nil {
			return err
		}
		return os.WriteFile(c.HTML, page.Bytes(), 0o644)
	}
	if c.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return v.WriteText(w)
}

// Burn asks all entries of a VM list for their burn and judges the sum.
func Burn(ctx context.Context, list provider.VMList, peers *peer.Pool) (v *burn.Evaluation, err error) {
	vms, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var reports []*burn.Report
	var missing []string
	var g errgroup.Group
	g.SetLimit(burnAtOnce)
	for _, vm := range vms {
		if vm.Role != provider.EntryRole {
			continue
		}
		g.Go(func() error {
			r, err := askBurn(ctx, peers, vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, vm.ID)
				return nil
			}
			reports = append(reports, r)
			return nil
		})
	}
	_ = g.Wait()
	if len(reports) == 0 {
		return nil, fmt.Errorf("cli: burn: none of %d entries answered", len(missing))
	}
	m, err := burn.Merge(reports)
	if err != nil {
		return nil, err
	}
	v = m.Evaluate()
	v.Missing = missing
	return v, nil
}

func askBurn(ctx context.Context, peers *peer.Pool, vm provider.VM) (r *burn.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout.Duration())
	defer cancel()
	reply, err := peers.Peer(ctx, vm.Address).Inspect(ctx, &wire.InspectRequest{Report: operations.BurnReport})
	if err != nil {
		return nil, err
	}
	r = &burn.Report{}
	return r, json.Unmarshal(reply.GetJson(), r)
}
