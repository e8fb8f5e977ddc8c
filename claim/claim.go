// Package claim decides which attempt may run a keyed call that must not run
// twice. A claim is an entry of the log: the first in log order stands, and a
// later round stands only after the endpoint of the one before has refused its
// attempt forever. No lease and no clock is part of it, so a paused process is
// harmless.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("claim")

// ErrUnsettled marks a claim of which it could not be learned whether it
// stands. Nothing may be dispatched under it.
var ErrUnsettled = Errors.NewType("unsettled")

const (
	// Streams is the number of streams over which keys are spread.
	Streams = 8
	// MaxKeys bounds the keys that are remembered of one stream. The key whose
	// last claim is oldest falls out first, and a call with it counts as new.
	MaxKeys = 64 << 10
	// hashBytes is how much of a digest a claim carries.
	hashBytes = 16
)

// Key hashes what a key means: an organisation's own key for one service. The
// parts are written with their lengths, so that no two sets of parts are alike.
func Key(organisation, service, key string) []byte {
	return Hash([]byte(organisation), []byte(service), []byte(key))
}

// Hash digests parts with their lengths.
func Hash(parts ...[]byte) []byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return h.Sum(nil)[:hashBytes]
}

// Stream names the stream of a key.
func Stream(key []byte) string {
	return fmt.Sprintf("claims-%d", xxhash.Sum64(key)%Streams)
}

// Same reports whether two claims are one.
func Same(a, b *wire.Claim) bool {
	return a.GetRequest() == b.GetRequest() && a.GetAttempt() == b.GetAttempt() && a.GetRound() == b.GetRound() && a.GetVm() == b.GetVm()
}

// standing is the claim that holds a key.
type standing struct {
	claim  *wire.Claim
	offset int64
}

// State reduces one stream of claims. All processes that read the same records
// agree on what stands.
type State struct {
	// next is the offset of the next record to reduce.
	next int64
	// keys holds at most bound keys.
	keys  map[string]standing
	bound int
	// order holds the keys by their claims, oldest first; a key with a later
	// claim stands in it again and its earlier places are skipped.
	order []place
	// skipped counts the records that held no claims.
	skipped int64
}

type place struct {
	key    string
	offset int64
	round  uint32
}

// NewState makes a state that begins at an offset and remembers so many keys.
func NewState(from int64, bound int) *State {
	return &State{next: from, keys: make(map[string]standing), bound: bound}
}

// Next returns the offset of the next record to reduce.
func (s *State) Next() int64 { return s.next }

// Keys returns how many keys are remembered.
func (s *State) Keys() int { return len(s.keys) }

// Skipped counts the records that held no claims.
func (s *State) Skipped() int64 { return s.skipped }

// Skip moves past records that the log no longer keeps.
func (s *State) Skip(first int64) { s.next = max(s.next, first) }

// Apply reduces the record at an offset; one reduced before has no effect.
func (s *State) Apply(offset int64, data []byte) {
	if offset < s.next {
		return
	}
	s.next = offset + 1
	r, err := batch.Decode(data)
	if err != nil {
		s.skipped++
		return
	}
	for _, c := range r.GetClaims() {
		s.claim(offset, c)
	}
}

// claim lets a claim stand when its key is free or when it is the round after
// the one that stands. Of two claims of one round the first in log order wins:
// with any other rule two entries could each believe that they may dispatch.
func (s *State) claim(offset int64, c *wire.Claim) {
	key := string(c.GetKey())
	if old, held := s.keys[key]; held && c.GetRound() != old.claim.GetRound()+1 {
		return
	}
	s.keys[key] = standing{claim: c, offset: offset}
	s.order = append(s.order, place{key: key, offset: offset, round: c.GetRound()})
	s.trim()
}

func (s *State) trim() {
	for len(s.keys) > s.bound || len(s.order) > 2*s.bound {
		p := s.order[0]
		s.order = s.order[1:]
		if held := s.keys[p.key]; held.offset == p.offset && held.claim.GetRound() == p.round {
			delete(s.keys, p.key)
		}
	}
}

// Holder returns the claim that holds a key and its offset.
func (s *State) Holder(key []byte) (c *wire.Claim, offset int64, ok bool) {
	x, ok := s.keys[string(key)]
	return x.claim, x.offset, ok
}
