// Package bill produces one bill for each request. The Ledger keeps a bill until it is stored on
// the log, and the Statement reads the bills back from the log. A bill has one step for each
// attempt of its request. It is keyed by request: two bills of one request merge into the union of
// their steps.
package bill

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("bill")

// Kinds of errors.
var (
	// ErrMalformed is returned for a record that cannot be decoded into bills.
	ErrMalformed = Errors.NewType("malformed")
	// ErrFull is returned when a ledger has reached its bound.
	ErrFull = Errors.NewType("full")
)

// Merge returns a bill with the steps of both bills, each attempt once. Of two different steps of
// one attempt it takes the complete one or, if both or neither are complete, the cheaper one, so
// the result does not depend on the order of the arguments. Conflicts returns the attempts whose
// costs differ. A nil bill is treated as empty.
func Merge(a, b *wire.Bill) *wire.Bill {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	out := &wire.Bill{
		Request:        a.GetRequest(),
		Organisation:   lesser(a.GetOrganisation(), b.GetOrganisation()),
		Route:          lesser(a.GetRoute(), b.GetRoute()),
		IdempotencyKey: lesser(a.GetIdempotencyKey(), b.GetIdempotencyKey()),
	}
	steps := slices.Concat(a.GetSteps(), b.GetSteps())
	slices.SortStableFunc(steps, compareSteps)
	out.Steps = slices.CompactFunc(steps, sameAttempt)
	return out
}

// lesser returns the lexically smaller of two texts, ignoring an empty one.
func lesser(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return min(a, b)
}

func sameAttempt(x, y *wire.Step) bool { return x.GetAttempt() == y.GetAttempt() }

// compareSteps orders steps by attempt. Within one attempt a complete step comes first, then the
// cheaper one.
func compareSteps(x, y *wire.Step) int {
	if c := cmp.Compare(x.GetAttempt(), y.GetAttempt()); c != 0 {
		return c
	}
	if x.GetWhole() != y.GetWhole() {
		if x.GetWhole() {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(x.GetCost(), y.GetCost()); c != 0 {
		return c
	}
	return cmp.Compare(stepText(x), stepText(y))
}

func stepText(s *wire.Step) string {
	u := s.GetUsage()
	return fmt.Sprint(s.GetVersion(), "/", s.GetService(), "/", s.GetVm(), "/", u.GetInputTokens(), "/", u.GetOutputTokens(), "/", u.GetCachedTokens())
}

// Conflicts returns the attempts for which the two bills have different costs.
func Conflicts(a, b *wire.Bill) (attempts []uint32) {
	for _, x := range a.GetSteps() {
		for _, y := range b.GetSteps() {
			if sameAttempt(x, y) && x.GetCost() != y.GetCost() {
				attempts = append(attempts, x.GetAttempt())
			}
		}
	}
	return attempts
}

// Cost returns the total cost of a bill in micro-units of currency.
func Cost(b *wire.Bill) (cost int64) {
	for _, s := range b.GetSteps() {
		cost += s.GetCost()
	}
	return cost
}

// Decode returns the bills in a record of the log. Its error is ErrMalformed.
func Decode(data []byte) (bills []*wire.Bill, err error) {
	r, err := batch.Decode(data)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "decode bills")
	}
	return r.GetBills(), nil
}
