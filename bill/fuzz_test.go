package bill

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

func addSeeds(f *testing.F) {
	f.Helper()
	b := &wire.Bill{Request: "r", Organisation: "o", Route: "q", Steps: []*wire.Step{{Attempt: 1, Cost: 4, Whole: true}, {Attempt: 1, Cost: 5}}}
	data, err := batch.Encode("b", []batch.Entry{{Bill: b}, {Bill: b}, {Claim: &wire.Claim{Key: []byte("k"), Round: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	hold, err := proto.Marshal(&wire.HoldBillsRequest{From: "vm-b", Zone: "zone-b", Bills: []*wire.Bill{b, {}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{data, hold, nil, []byte("\x12\x00"), []byte("\xff\xff\xff\xff")} {
		f.Add(seed)
	}
}

// FuzzStatement adds arbitrary records to a statement. A record that appears twice must not change
// the totals.
func FuzzStatement(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		once, twice := NewStatement(), NewStatement()
		once.Add(0, data)
		twice.Add(0, data)
		twice.Add(1, data)
		once.Finish(nil)
		twice.Finish(nil)
		a, b := once.Totals(), twice.Totals()
		if len(a) != len(b) {
			t.Fatalf("billed-exactly-once: %v and %v", a, b)
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("billed-exactly-once: %v and %v", a[i], b[i])
			}
		}
	})
}

// FuzzTaken passes arbitrary hold requests of peers to a ledger, which must not panic or hold more
// bills than its bound.
func FuzzTaken(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &wire.HoldBillsRequest{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		const bound = 3
		l := NewLedger("zone-a", bound)
		l.Reduce(MembersChanged{Assignment: newAssignment("vm-b zone-b\nvm-c zone-c")})
		for now := range 3 {
			l.Reduce(HoldRequested{Zone: in.GetZone(), Keeper: in.GetFrom(), Bills: in.GetBills()})
			for _, b := range in.GetBills() {
				l.Reduce(Stored{IDs: []string{b.GetRequest() + "/0"}})
				l.Reduce(Released{Requests: []string{b.GetRequest()}})
			}
			l.Reduce(Drain{})
			_ = now
			if _, held := l.Waiting(); held > bound {
				t.Fatalf("waiting-bills-are-bounded: %d held", held)
			}
		}
	})
}
