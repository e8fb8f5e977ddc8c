package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// registrations returns a report with the registrations of n endpoints.
func registrations(n int) *wire.EntryReport {
	r := &wire.EntryReport{Process: "p", Name: "n", FleetDigest: 7}
	for i := range n {
		value := fmt.Sprintf(`{"service":"pool-%d","address":"10.%d.64.%d:8444","zone":"anadolu-%d","version":"v2","slots":24,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
			i%2, i%6, i%250, i%6, 3000-i, i*7, 1_789_000_000_000+i*131)
		r.Records = append(r.Records, &wire.StoreRecord{Stream: int32(EndpointStream), Key: fmt.Sprintf("i-%08x", i*2654435761), Value: []byte(value)})
	}
	return r
}

// Guards against the update for an upgrade on a site of 74 endpoints, whose new endpoints
// register within a second, being too large for one report, so that each of 68 entries reads all
// endpoints from the store. One packed report carries it, a few carry a thousand endpoints, and
// only an update too large for the sender's link is sent without records.
func TestPackManyRegistrations(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct{ endpoints, entries, reports int }{{74, 67, 1}, {1000, 67, 5}, {3000, 67, 15}} {
		reports, err := pack(registrations(x.endpoints), x.entries)
		is.NoErr(err)
		is.Equal(len(reports), x.reports)
		records := 0
		for _, r := range reports {
			is.True(proto.Size(r) < 60<<10) // fits into a datagram
			is.Equal(r.GetFleetDigest(), uint64(7))
			is.NoErr(unpack(r))
			records += len(r.GetRecords())
		}
		is.Equal(records, x.endpoints)
	}
	reports, err := pack(registrations(3000), 4000)
	is.NoErr(err)
	is.Equal(len(reports), 1)
	is.Equal(len(reports[0].GetRecords()), 0) // without records
}

// Packing and unpacking returns the same records.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &wire.EntryReport{Process: "p"}
		stream := rapid.SampledFrom([]Stream{OperatorStream, EndpointStream}).Draw(t, "stream")
		for i := range rapid.IntRange(1, 500).Draw(t, "records") {
			r.Records = append(r.Records, &wire.StoreRecord{Stream: int32(stream), Key: fmt.Sprint(i), Value: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "value"), Offset: int64(i)})
		}
		want := &wire.StoreRecords{Records: r.GetRecords()}
		reports, err := pack(r, 3)
		if err != nil {
			t.Fatal(err)
		}
		if stream == OperatorStream && len(reports) != 1 {
			t.Fatalf("operators' records were split into %d reports", len(reports))
		}
		got := &wire.StoreRecords{}
		for _, x := range reports {
			if err := unpack(x); err != nil {
				t.Fatal(err)
			}
			got.Records = append(got.Records, x.GetRecords()...)
		}
		if !proto.Equal(want, got) {
			t.Fatal("unpacked records differ")
		}
	})
}

// FuzzUnpack unpacks arbitrary data, such as truncated, forged or endless records. Nothing may
// panic, and no record may be accepted if unpacking fails.
func FuzzUnpack(f *testing.F) {
	good, err := deflate(&wire.StoreRecords{Records: registrations(3).GetRecords()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte("no deflate at all"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		r := &wire.EntryReport{Process: "p", Packed: packed}
		if err := unpack(r); err != nil && len(r.GetRecords()) > 0 {
			t.Fatal("records of an invalid report were accepted")
		}
	})
}
