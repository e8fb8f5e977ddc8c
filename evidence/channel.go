package evidence

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// maxChannelKeys bounds the keys that a channel tells; further ones are not
// told. Forgetting one instead would tell its past a second time.
const maxChannelKeys = 4096

// Channel parts a process's own counts by whom they were told to, each increment
// to one destination only. A destination may fold what it is told into sums of
// its own, so whatever one was told must never go to another: the sums would
// hold it twice, and a good version be held for errors counted twice. What was
// lost on the way to a destination that is gone is lost.
type Channel struct {
	to string
	// segment numbers the destinations; each is told under an epoch of its own.
	segment uint64
	// told is what the present destination was told, closed what the earlier ones
	// were.
	told, closed map[Key]Tally
}

// NewChannel makes a channel that has told nothing.
func NewChannel() *Channel {
	return &Channel{told: make(map[Key]Tally), closed: make(map[Key]Tally)}
}

// Switch begins a segment when the destination is another one.
func (c *Channel) Switch(to string) {
	if to == c.to {
		return
	}
	c.to = to
	if len(c.told) > 0 {
		c.segment++
	}
	for k, t := range c.told {
		c.closed[k] = c.closed[k].Plus(t)
	}
	clear(c.told)
}

// Part returns what the destination is told of a count: all that no earlier one
// was told. Ok is false when that is nothing.
func (c *Channel) Part(count *wire.Count) (out *wire.Count, ok bool) {
	k, t := fromWire(count)
	if _, known := c.told[k]; !known && len(c.told)+len(c.closed) >= maxChannelKeys {
		return nil, false
	}
	part := t.since(c.closed[k])
	if part == (Tally{}) {
		return nil, false
	}
	c.told[k] = part
	return toWire(count.GetVm(), segmentEpoch(count.GetEpoch(), c.segment), k, part), true
}

func segmentEpoch(epoch, segment uint64) uint64 {
	if segment == 0 {
		return epoch
	}
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(epoch>>(8*i)), byte(segment>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// Fold adds to this state's own counts what a count of another process tells
// that is new.
func (s *State) Fold(c *wire.Count) {
	if d, ok := s.Merge(c); ok {
		s.see(d.Key, d.Tally)
	}
}
