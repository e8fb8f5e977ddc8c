package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// prefixTTL is how long a prompt part that was sent to an endpoint is taken to be in
	// its memory.
	prefixTTL = 20 * clock.Second
	// maxBlocks bounds the parts remembered; when it is passed, old ones go.
	maxBlocks = 20000
)

// blockKey names a part at an endpoint by hashes.
type blockKey struct {
	endpoint uint32
	block    uint32
}

// hashOf hashes a part for a model: models keep their own.
func (p Block) hashOf(model string) uint32 { return shortHash(model + "/" + p.ID) }

// shortHash names an endpoint or a part in reports. Of the parts kept at one time one
// in a hundred thousand shares its hash with another; it is then read unforeseen.
func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// prefixCache knows which prompt parts the endpoints hold: those sent there by this entry or
// by one that told of it.
type prefixCache struct {
	// blocks holds when a part was last sent to an endpoint.
	blocks map[blockKey]clock.Millis
	// unreported holds the shared parts by endpoint that this entry has sent since it last
	// told of them, but for those that were known there lately. The last part of a
	// prompt is its request's or session's own, which stays with its entry.
	unreported map[uint32][]uint32
}

func newPrefixCache() prefixCache {
	return prefixCache{blocks: make(map[blockKey]clock.Millis), unreported: make(map[uint32][]uint32)}
}

// recordSent notes a prompt that this entry sends.
func (k *prefixCache) recordSent(endpoint uint32, q Query) {
	for i, hash := range q.hashes {
		key := blockKey{endpoint, hash}
		at, ok := k.blocks[key]
		lately := ok && q.Now-at <= prefixTTL/2
		if i < len(q.Blocks)-1 && !lately {
			k.unreported[endpoint] = append(k.unreported[endpoint], key.block)
		}
		k.blocks[key] = q.Now
	}
	k.evict(q.Now)
}

// recordReported notes parts that another entry sent.
func (k *prefixCache) recordReported(endpoint uint32, parts []uint32, now clock.Millis) {
	for _, h := range parts {
		k.blocks[blockKey{endpoint, h}] = now
	}
	k.evict(now)
}

// holds reports whether an endpoint is taken to hold a part.
func (k *prefixCache) holds(endpoint, part uint32, now clock.Millis) bool {
	at, ok := k.blocks[blockKey{endpoint, part}]
	return ok && now-at <= prefixTTL
}

// evict drops what is too old to matter once there is too much.
func (k *prefixCache) evict(now clock.Millis) {
	if len(k.blocks) <= maxBlocks {
		return
	}
	for key, at := range k.blocks {
		if now-at > prefixTTL/2 {
			delete(k.blocks, key)
		}
	}
}
