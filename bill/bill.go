// Package bill makes one bill of each request: the ledger that keeps it until
// it stands on the log, and the statement that reads it back. A bill is keyed
// by request, and two bills of one request merge into one: the union of their
// steps.
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
	// ErrMalformed marks a record that holds no bills.
	ErrMalformed = Errors.NewType("malformed")
	// ErrFull marks a ledger at its bound.
	ErrFull = Errors.NewType("full")
)

// Merge returns the bill that holds the steps of both, each attempt once. The
// result is the same in either order: of two steps of one attempt that differ
// it keeps the lesser, and Conflicts names both.
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

// lesser returns the lesser text that is not empty.
func lesser(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return min(a, b)
}

func sameAttempt(x, y *wire.Step) bool { return x.GetAttempt() == y.GetAttempt() }

// compareSteps orders by attempt; of one attempt the whole step comes first,
// then the cheaper.
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
	return cmp.Compare(textOf(x), textOf(y))
}

func textOf(s *wire.Step) string {
	u := s.GetUsage()
	return fmt.Sprint(s.GetVersion(), "/", s.GetService(), "/", s.GetVm(), "/", u.GetInputTokens(), "/", u.GetOutputTokens(), "/", u.GetCachedTokens())
}

// Conflicts returns the attempts to which the two bills give different costs.
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

// Cost sums a bill in micro-units of currency.
func Cost(b *wire.Bill) (cost int64) {
	for _, s := range b.GetSteps() {
		cost += s.GetCost()
	}
	return cost
}

// Decode reads the bills of a record of the log.
func Decode(data []byte) (bills []*wire.Bill, err error) {
	r, err := batch.Decode(data)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "decode bills")
	}
	return r.GetBills(), nil
}
