package site

import (
	"cmp"

	"github.com/parsleydeal/parsleydeal/fleet"
)

// Position is a place in a stream of the store. An offset alone does not identify one: when the store
// comes back from an older copy, offsets are given out again.
type Position struct {
	// Era counts the store's returns from an older copy, from 1; 0 if it is unknown.
	Era    int64
	Offset int64
}

// unread is the position of a stream that was not read.
var unread = Position{Offset: -1}

// Compare orders positions by era and offset.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// revision returns the end of the endpoints' stream at the position.
func (p Position) revision() fleet.Revision {
	return fleet.Revision{Era: p.Era, Next: max(p.Offset, 0)}
}

// later returns the later position.
func later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// eraBits is the number of bits of an order's number that hold the offset.
const eraBits = 40

// Number returns a number for the position that is higher for later ones.
func (p Position) Number() int64 { return p.Era<<eraBits | p.Offset }

// positionOf returns the position of a number.
func positionOf(number int64) Position {
	return Position{Era: number >> eraBits, Offset: number & (1<<eraBits - 1)}
}
