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
	burnTimeout              = 3 * clock.Second
	maxConcurrentBurnQueries = 32
)

type burnCommand struct {
	command
	platformOptions
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
	evaluation, err := Burn(ctx, op.VMs, op.Peers)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		var page bytes.Buffer
		if err = evaluation.WriteHTML(&page); err != nil {
			return err
		}
		return os.WriteFile(c.HTML, page.Bytes(), 0o644)
	}
	if c.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(evaluation)
	}
	return evaluation.WriteText(w)
}

// Burn requests the burn reports of all entries in a VM list, merges them and returns the
// evaluation. Entries that do not reply are listed in Evaluation.Missing; it is an error if none
// replies.
func Burn(ctx context.Context, list provider.VMList, peers *peer.Pool) (evaluation *burn.Evaluation, err error) {
	vms, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var reports []*burn.Report
	var missing []string
	var g errgroup.Group
	g.SetLimit(maxConcurrentBurnQueries)
	for _, vm := range vms {
		if vm.Role != provider.EntryRole {
			continue
		}
		g.Go(func() error {
			r, err := queryBurn(ctx, peers, vm)
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
	evaluation = m.Evaluate()
	evaluation.Missing = missing
	return evaluation, nil
}

func queryBurn(ctx context.Context, peers *peer.Pool, vm provider.VM) (r *burn.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout.Duration())
	defer cancel()
	reply, err := peers.Peer(ctx, vm.Address).Inspect(ctx, &wire.InspectRequest{Report: operations.BurnReport})
	if err != nil {
		return nil, err
	}
	r = &burn.Report{}
	return r, json.Unmarshal(reply.GetJson(), r)
}
