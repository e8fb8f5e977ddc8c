// Package claim decides which attempt may run a call that has an idempotency key and must not run
// twice. An attempt is dispatched only after a claim for it has been appended to the log. The first
// claim of a key in log order holds the key. Only a claim of the next round can replace it, and
// such a claim is made only after the endpoint of the holder's attempt has permanently refused to
// run that attempt. The protocol uses no lease and no clock, so a process that is paused and
// resumes does no harm.
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

// ErrUnsettled means that it is unknown whether a claim holds its key. The attempt of such a claim
// must not be dispatched.
var ErrUnsettled = Errors.NewType("unsettled")

const (
	// Streams is the number of log streams that the keys are distributed over.
	Streams = 8
	// MaxKeys is the maximum number of keys remembered per stream. The key whose last claim is the
	// oldest is evicted first; a later call with that key counts as new.
	MaxKeys = 64 << 10
	// hashBytes is the length of the truncated digests in claims.
	hashBytes = 16
)

// Key returns the hash of an idempotency key, which is scoped to one organisation and
// one service.
func Key(organisation, service, key string) []byte {
	return Hash([]byte(organisation), []byte(service), []byte(key))
}

// Hash returns a digest of hashBytes bytes. Each part is hashed with its length, so that
// different lists of parts never hash the same input.
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

// Stream returns the name of the log stream that holds a key's claims.
func Stream(key []byte) string {
	return fmt.Sprintf("claims-%d", xxhash.Sum64(key)%Streams)
}

// Same reports whether both are the same claim: of the same round and the same attempt of a
// request, for the same VM.
func Same(a, b *wire.Claim) bool {
	return a.GetRequest() == b.GetRequest() && a.GetAttempt() == b.GetAttempt() && a.GetRound() == b.GetRound() && a.GetVm() == b.GetVm()
}

// holder is the claim that holds a key.
type holder struct {
	claim  *wire.Claim
	offset int64
}

// State reduces one stream of claims. Processes that read the same records agree on
// which claim holds each key.
type State struct {
	// next is the offset of the next record to apply.
	next int64
	// keys holds at most bound keys.
	keys  map[string]holder
	bound int
	// order lists the keys by the offset of their claim, oldest first. A key with a
	// later claim is listed again, and its earlier entries are skipped.
	order []keyClaim
	// skipped counts the records that could not be decoded.
	skipped int64
}

// keyClaim is an entry of State.order.
type keyClaim struct {
	key    string
	offset int64
	round  uint32
}

// NewState returns a state that starts at an offset and remembers at most bound keys.
func NewState(from int64, bound int) *State {
	return &State{next: from, keys: make(map[string]holder), bound: bound}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() int64 { return s.next }

// Keys returns the number of keys remembered.
func (s *State) Keys() int { return len(s.keys) }

// Skipped returns the number of records that could not be decoded.
func (s *State) Skipped() int64 { return s.skipped }

// Skip continues at offset first, for use if the log no longer retains the records before it.
func (s *State) Skip(first int64) { s.next = max(s.next, first) }

// Apply reduces the record at an offset. Applying a record twice has no effect.
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
		s.applyClaim(offset, c)
	}
}

// applyClaim makes a claim the holder of its key if the key is free or if the claim is
// of the round after the holder's. Of two claims of the same round the first in log order
// wins; with any other rule two entries could both conclude that they may dispatch.
func (s *State) applyClaim(offset int64, c *wire.Claim) {
	key := string(c.GetKey())
	if old, held := s.keys[key]; held && c.GetRound() != old.claim.GetRound()+1 {
		return
	}
	s.keys[key] = holder{claim: c, offset: offset}
	s.order = append(s.order, keyClaim{key: key, offset: offset, round: c.GetRound()})
	s.trim()
}

// trim evicts the keys with the oldest claims.
func (s *State) trim() {
	for len(s.keys) > s.bound || len(s.order) > 2*s.bound {
		oldest := s.order[0]
		s.order = s.order[1:]
		if held := s.keys[oldest.key]; held.offset == oldest.offset && held.claim.GetRound() == oldest.round {
			delete(s.keys, oldest.key)
		}
	}
}

// Holder returns the claim that holds a key, and the offset of that claim.
func (s *State) Holder(key []byte) (c *wire.Claim, offset int64, ok bool) {
	h, ok := s.keys[string(key)]
	return h.claim, h.offset, ok
}
