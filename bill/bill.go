// Package bill makes one bill of each request. A bill is keyed by request, and
// two bills of one request merge into one: the union of their steps.
package bill

import (
	"cmp"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("bill")

// ErrMalformed marks a record that holds no bills.
var ErrMalformed = Errors.NewType("malformed")

// Merge returns the bill that holds the steps of both, each attempt once.
func Merge(a, b *wire.Bill) *wire.Bill {
	if a == nil {
		return b
	}
	out := &wire.Bill{Request: a.GetRequest(), Organisation: a.GetOrganisation(), Route: a.GetRoute(), IdempotencyKey: a.GetIdempotencyKey()}
	out.Steps = append(out.Steps, a.GetSteps()...)
	for _, s := range b.GetSteps() {
		if !slices.ContainsFunc(out.GetSteps(), func(o *wire.Step) bool { return o.GetAttempt() == s.GetAttempt() }) {
			out.Steps = append(out.Steps, s)
		}
	}
	slices.SortFunc(out.GetSteps(), func(x, y *wire.Step) int { return cmp.Compare(x.GetAttempt(), y.GetAttempt()) })
	return out
}

// Cost sums a bill in micro-units of currency.
func Cost(b *wire.Bill) (cost int64) {
	for _, s := range b.GetSteps() {
		cost += s.GetCost()
	}
	return cost
}

// Encode writes bills as one record of the log.
func Encode(bills []*wire.Bill) (data []byte, err error) {
	return proto.Marshal(&wire.HoldBillsRequest{Bills: bills})
}

// Decode reads a record of the log.
func Decode(data []byte) (bills []*wire.Bill, err error) {
	m := &wire.HoldBillsRequest{}
	if err = proto.Unmarshal(data, m); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode record")
	}
	return m.GetBills(), nil
}
