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

// errAnomalies makes the command exit with an error if the statement has anomalies, so that scripts
// notice them.
var errAnomalies = fmt.Errorf("cli: bills: the statement has anomalies")

type billsCommand struct {
	command
	platformOptions
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

// BillsQuery selects the bills to read and the output format.
type BillsQuery struct {
	// From and To are offsets on the stream of bills. To is exclusive; 0 reads to the end.
	From, To int64
	JSON     bool
	Each     bool
}

// statementBill is the JSON form of one bill.
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
	// MoreAnomalies counts the anomalies left out because the list is bounded.
	MoreAnomalies int `json:"more-anomalies"`
}

// Bills prints a statement of the bills on the log. It returns an error after printing if the
// statement has anomalies.
func Bills(ctx context.Context, w io.Writer, log provider.Log, q BillsQuery) (err error) {
	s := bill.NewStatement()
	first, next, err := readStream(ctx, log, provider.BillStream, q.From, q.To, s.Add)
	if err != nil {
		return err
	}
	known, err := knownOrganisations(ctx, log)
	if err != nil {
		return err
	}
	s.Finish(known)
	report := newStatementReport(s, first, next, q.Each)
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

// readStream calls handle for each record with from <= offset < to. It stops at the head that the
// log had at the start if to is 0 or beyond that head. It returns the offset of the first record
// read and the offset at which a later read continues.
func readStream(ctx context.Context, log provider.Log, stream string, from, to int64, handle func(offset int64, data []byte)) (first, next int64, err error) {
	const beyondHead = int64(1) << 62 // a read from here returns the stream's bounds and no records
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
				handle(r.Offset, r.Data)
			}
			next = r.Offset + 1
		}
	}
	return first, min(next, to), nil
}

// knownOrganisations returns a function that reports whether any retained revision of the tables
// has an organisation. The function is nil if no tables can be restored from the log: reporting
// every organisation as unknown would hide the real anomalies.
func knownOrganisations(ctx context.Context, log provider.Log) (known func(name string) bool, err error) {
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

func newStatementReport(s *bill.Statement, first, next int64, each bool) (r statementReport) {
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
