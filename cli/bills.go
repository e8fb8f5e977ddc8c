package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// errAnomalies marks a statement with anomalies, which a person shall look at.
var errAnomalies = fmt.Errorf("cli: bills: the statement has anomalies")

type billsCommand struct {
	command
	site
	From int64 `long:"from" description:"first offset of the stream of bills to read" default:"0"`
	To   int64 `long:"to" description:"offset before which to stop; 0 reads to the end" default:"0"`
	JSON bool  `long:"json" description:"print the whole statement as JSON"`
	Each bool  `long:"each" description:"print each bill"`
}

func addBills(p *flags.Parser) error {
	c := &billsCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.print(ctx, os.Stdout) }
	_, err := p.AddCommand("bills", "Reduce the stream of bills to one bill a request",
		"Bills reads the log's stream of bills, merges records of one request into one bill, sums them by organisation and route, and names what is wrong. It exits with 1 when there is an anomaly.", c)
	return err
}

func (c *billsCommand) print(ctx context.Context, w io.Writer) (err error) {
	op, err := c.operator()
	if err != nil {
		return err
	}
	return Bills(ctx, w, op.Log, BillsQuery{From: c.From, To: c.To, JSON: c.JSON, Each: c.Each})
}

// BillsQuery says which bills to read and how to print them.
type BillsQuery struct {
	// From and To are offsets; To 0 reads to the end.
	From, To int64
	JSON     bool
	Each     bool
}

// statementBill is one bill as printed.
type statementBill struct {
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Steps        int    `json:"steps"`
	// Cost is in micro-units of currency.
	Cost int64 `json:"cost"`
}

type statementReport struct {
	First     int64           `json:"first"`
	Next      int64           `json:"next"`
	Records   int64           `json:"records"`
	Repeats   int64           `json:"repeats"`
	Totals    []bill.Total    `json:"totals"`
	Bills     []statementBill `json:"bills,omitempty"`
	Anomalies []bill.Anomaly  `json:"anomalies"`
	// MoreAnomalies counts those beyond the list's bound.
	MoreAnomalies int `json:"more-anomalies"`
}

// Bills prints a statement of the bills on the log.
func Bills(ctx context.Context, w io.Writer, log provider.Log, q BillsQuery) (err error) {
	s := bill.NewStatement()
	first, next, err := readStream(ctx, log, provider.BillStream, q.From, q.To, s.Add)
	if err != nil {
		return err
	}
	known, err := organisations(ctx, log)
	if err != nil {
		return err
	}
	s.Finish(known)
	report := reportOf(s, first, next, q.Each)
	if q.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.print(w)
	}
	if err == nil && len(report.Anomalies) > 0 {
		return errAnomalies
	}
	return err
}

// readStream hands each record from an offset on to take, until the offset to
// or the head that the first page showed.
func readStream(ctx context.Context, log provider.Log, stream string, from, to int64, take func(offset int64, data []byte)) (first, next int64, err error) {
	const beyondHead = int64(1) << 62
	head, err := log.Read(ctx, stream, beyondHead, 0)
	if err != nil {
		return 0, 0, err
	}
	first = max(from, head.First)
	if to <= 0 || to > head.Head {
		to = head.Head
	}
	for next = first; next < to; {
		page, err := log.Read(ctx, stream, next, 0)
		if errorx.IsOfType(err, provider.ErrExpired) {
			return first, next, fmt.Errorf("cli: %s: records expired while they were read: %w", stream, err)
		}
		if err != nil {
			return first, next, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, r := range page.Records {
			if r.Offset < to {
				take(r.Offset, r.Data)
			}
			next = r.Offset + 1
		}
	}
	return first, min(next, to), nil
}

// organisations tells which organisations the kept configuration ever had. It
// returns nil when the log keeps no tables to begin from: calling every
// organisation unknown would hide what is wrong.
func organisations(ctx context.Context, log provider.Log) (known func(name string) bool, err error) {
	var state table.State
	names := make(map[string]bool)
	_, _, err = readStream(ctx, log, provider.ConfigStream, 0, 0, func(offset int64, data []byte) {
		if _, ok := state.Apply(offset, data); ok && state.Tables() != nil {
			for name := range state.Tables().Organisations {
				names[name] = true
			}
		}
	})
	if state.Tables() == nil {
		return nil, err
	}
	return func(name string) bool { return names[name] }, err
}

func reportOf(s *bill.Statement, first, next int64, each bool) (r statementReport) {
	r.First, r.Next = first, next
	r.Records, r.Repeats = s.Counts()
	r.Totals = s.Totals()
	r.Anomalies, r.MoreAnomalies = s.Anomalies()
	if !each {
		return r
	}
	for _, b := range s.Bills() {
		r.Bills = append(r.Bills, statementBill{b.GetRequest(), b.GetOrganisation(), b.GetRoute(), len(b.GetSteps()), bill.Cost(b)})
	}
	return r
}

func (r statementReport) print(w io.Writer) (err error) {
	fmt.Fprintf(w, "offsets %d to %d, %d records, %d bills repeated and merged\n", r.First, r.Next, r.Records, r.Repeats)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, b := range r.Bills {
		fmt.Fprintf(t, "%s\t%s\t%s\tsteps %d\tcost %d\n", b.Request, b.Organisation, b.Route, b.Steps, b.Cost)
	}
	fmt.Fprintln(t, "ORGANISATION\tROUTE\tREQUESTS\tSTEPS\tCOST")
	for _, x := range r.Totals {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", x.Organisation, x.Route, x.Requests, x.Steps, x.Cost)
	}
	for _, a := range r.Anomalies {
		fmt.Fprintf(t, "ANOMALY\t%s\toffset %d\t%s\t%s\n", a.Kind, a.Offset, a.Request, a.Detail)
	}
	if r.MoreAnomalies > 0 {
		fmt.Fprintf(t, "ANOMALY\t%d more\n", r.MoreAnomalies)
	}
	return t.Flush()
}
