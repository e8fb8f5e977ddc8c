package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// logOf is a log that keeps records from an offset on, two to a page.
func logOf(first int64, streams map[string][][]byte) provider.Log {
	return provider.Log{Read: func(_ context.Context, stream string, from int64, _ clock.Millis) (p provider.Page, err error) {
		all := streams[stream]
		p = provider.Page{First: min(first, int64(len(all))), Head: int64(len(all))}
		if from < p.First {
			return p, provider.ErrExpired.New("expired")
		}
		for o := from; o < p.Head && len(p.Records) < 2; o++ {
			p.Records = append(p.Records, provider.Record{Offset: o, Data: all[o]})
		}
		return p, nil
	}}
}

func billRecord(t *testing.T, request string, cost int64) []byte {
	data, err := batch.Encode("batch", []batch.Entry{{Bill: &wire.Bill{
		Request: request, Organisation: "desk", Route: "quick", Steps: []*wire.Step{{Attempt: 1, Cost: cost, Whole: true}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The log has dropped its first bills, a takeover wrote one bill twice, and two
// processes gave another two costs. Operators get one bill a request and a
// command that fails, so that a script notices.
func TestBillsMergesRecordsAndReportsAnomalies(t *testing.T) {
	is := is.New(t)
	config := []byte("id=\"a\"\nauthor=\"ops\"\nkind=\"whole\"\nbase=-1\n[tables.organisations.desk]\nweight=1\n")
	stream := [][]byte{nil, billRecord(t, "r1", 5), billRecord(t, "r2", 7), billRecord(t, "r1", 5)}
	whole := logOf(1, map[string][][]byte{provider.BillStream: stream, provider.ConfigStream: {config, config}})
	var out bytes.Buffer
	is.NoErr(Bills(t.Context(), &out, whole, BillsQuery{JSON: true, Each: true}))
	var report statementReport
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.Equal(len(report.Bills), 2)
	is.Equal(report.First, int64(1))
	is.Equal(report.Repeats, int64(1))
	is.Equal(report.Totals[0].Cost, int64(12))

	stream = append(stream, billRecord(t, "r2", 9))
	broken := logOf(1, map[string][][]byte{provider.BillStream: stream, provider.ConfigStream: {config, config}})
	is.True(errors.Is(Bills(t.Context(), &out, broken, BillsQuery{}), errAnomalies))
	is.NoErr(Bills(t.Context(), &out, broken, BillsQuery{To: 4})) // the span before it is sound
}
