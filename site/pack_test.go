package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// announcements makes the news of so many endpoints, as they announce themselves.
func announcements(n int) *wire.EntryReport {
	r := &wire.EntryReport{Process: "p", Name: "n", FleetDigest: 7}
	for i := range n {
		value := fmt.Sprintf(`{"service":"pool-%d","address":"10.%d.64.%d:8444","zone":"anadolu-%d","version":"v2","slots":24,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
			i%2, i%6, i%250, i%6, 3000-i, i*7, 1_789_000_000_000+i*131)
		r.Records = append(r.Records, &wire.StoreRecord{Stream: int32(EndpointStream), Key: fmt.Sprintf("i-%08x", i*2654435761), Value: []byte(value)})
	}
	return r
}

// A new version is brought in on a site of 74 endpoints: as many new ones announce
// themselves within a second. Their news was too large for one report, so that it was
// announced only, and each of 68 entries read all endpoints from the store. It goes out
// in one packed report, and a thousand endpoints' in a few, until it is too much for the
// link of the entry that tells.
func TestPackManyRegistrations(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct{ endpoints, entries, reports int }{{74, 67, 1}, {1000, 67, 5}, {3000, 67, 15}} {
		reports, err := pack(announcements(x.endpoints), x.entries)
		is.NoErr(err)
		is.Equal(len(reports), x.reports)
		records := 0
		for _, r := range reports {
			is.True(proto.Size(r) < 60<<10) // a datagram holds it
			is.Equal(r.GetFleetDigest(), uint64(7))
			is.NoErr(unpack(r))
			records += len(r.GetRecords())
		}
		is.Equal(records, x.endpoints)
	}
	reports, err := pack(announcements(3000), 4000)
	is.NoErr(err)
	is.Equal(len(reports), 1)
	is.Equal(len(reports[0].GetRecords()), 0) // announced
}

// Whatever is packed comes out again.
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
			t.Fatalf("%d reports of the operators' stream", len(reports))
		}
		got := &wire.StoreRecords{}
		for _, x := range reports {
			if err := unpack(x); err != nil {
				t.Fatal(err)
			}
			got.Records = append(got.Records, x.GetRecords()...)
		}
		if !proto.Equal(want, got) {
			t.Fatal("other records came out")
		}
	})
}

// FuzzUnpack takes reports whose packed records are torn, forged or endless: nothing is
// taken of these, and nothing fails.
func FuzzUnpack(f *testing.F) {
	good, err := deflate(announcements(3).GetRecords())
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
			t.Fatal("records of a torn report were taken")
		}
	})
}
