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

// newLog returns a log that retains the records at offset first and later, and returns two records
// per page.
func newLog(first int64, streams map[string][][]byte) provider.Log {
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

// The first record of the stream has expired, a takeover of another process's bills wrote one bill
// twice, and two processes wrote bills with different costs for one request. The command must merge
// the records into one bill per request and fail on the conflicting costs, so that scripts notice
// them.
func TestBillsMergesRecordsAndReportsAnomalies(t *testing.T) {
	is := is.New(t)
	config := []byte("id=\"a\"\nauthor=\"ops\"\nkind=\"whole\"\nbase=-1\n[tables.organisations.desk]\nweight=1\n")
	stream := [][]byte{nil, billRecord(t, "r1", 5), billRecord(t, "r2", 7), billRecord(t, "r1", 5)}
	consistent := newLog(1, map[string][][]byte{provider.BillStream: stream, provider.ConfigStream: {config, config}})
	var out bytes.Buffer
	is.NoErr(Bills(t.Context(), &out, consistent, BillsQuery{JSON: true, Each: true}))
	var report statementReport
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.Equal(len(report.Bills), 2)
	is.Equal(report.First, int64(1))
	is.Equal(report.Repeats, int64(1))
	is.Equal(report.Totals[0].Cost, int64(12))

	stream = append(stream, billRecord(t, "r2", 9))
	conflicting := newLog(1, map[string][][]byte{provider.BillStream: stream, provider.ConfigStream: {config, config}})
	is.True(errors.Is(Bills(t.Context(), &out, conflicting, BillsQuery{}), errAnomalies))
	is.NoErr(Bills(t.Context(), &out, conflicting, BillsQuery{To: 4})) // the records before the conflict have no anomaly
}
