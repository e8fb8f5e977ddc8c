package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// keptFor is how long a prompt part that was sent to an endpoint is taken to be in
	// its memory.
	keptFor = 20 * clock.Second
	// maxParts bounds the parts remembered; when it is passed, old ones go.
	maxParts = 20000
)

// partKey names a part at an endpoint by hashes.
type partKey struct {
	endpoint uint32
	part     uint32
}

// hashOf hashes a part for a model: models keep their own.
func (p Block) hashOf(model string) uint32 { return shortHash(model + "/" + p.ID) }

// shortHash names an endpoint or a part in reports. Of the parts kept at one time one
// in a hundred thousand shares its hash with another; it is then read unforeseen.
func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// kept knows which prompt parts the endpoints hold: those sent there by this entry or
// by one that told of it.
type kept struct {
	// parts holds when a part was last sent to an endpoint.
	parts map[partKey]clock.Millis
	// untold holds the shared parts by endpoint that this entry has sent since it last
	// told of them, but for those that were known there lately. The last part of a
	// prompt is its request's or session's own, which stays with its entry.
	untold map[uint32][]uint32
}

func newKept() kept {
	return kept{parts: make(map[partKey]clock.Millis), untold: make(map[uint32][]uint32)}
}

// own notes a prompt that this entry sends.
func (k *kept) own(endpoint uint32, q Query) {
	for i, hash := range q.hashes {
		key := partKey{endpoint, hash}
		at, ok := k.parts[key]
		lately := ok && q.Now-at <= keptFor/2
		if i < len(q.Blocks)-1 && !lately {
			k.untold[endpoint] = append(k.untold[endpoint], key.part)
		}
		k.parts[key] = q.Now
	}
	k.bound(q.Now)
}

// hear notes parts that another entry sent.
func (k *kept) hear(endpoint uint32, parts []uint32, now clock.Millis) {
	for _, h := range parts {
		k.parts[partKey{endpoint, h}] = now
	}
	k.bound(now)
}

// holds reports whether an endpoint is taken to hold a part.
func (k *kept) holds(endpoint, part uint32, now clock.Millis) bool {
	at, ok := k.parts[partKey{endpoint, part}]
	return ok && now-at <= keptFor
}

// bound drops what is too old to matter once there is too much.
func (k *kept) bound(now clock.Millis) {
	if len(k.parts) <= maxParts {
		return
	}
	for key, at := range k.parts {
		if now-at > keptFor/2 {
			delete(k.parts, key)
		}
	}
}
