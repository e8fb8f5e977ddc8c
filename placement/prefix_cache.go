package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// prefixTTL is how long a prompt block is assumed to stay in the cache of an endpoint
	// after it was sent there.
	prefixTTL = 20 * clock.Second
	// maxBlocks is the number of stored blocks above which old ones are evicted.
	maxBlocks = 20000
)

// blockKey identifies a block at an endpoint by hashes.
type blockKey struct {
	endpoint uint32
	block    uint32
}

// hashOf returns the hash of a block for a model. Models do not share cached blocks.
func (block Block) hashOf(model string) uint32 { return shortHash(model + "/" + block.ID) }

// shortHash returns the hash that identifies an endpoint or a block in reports. One in a hundred
// thousand of the blocks cached at a time collides with another; a block with a collision may be
// taken for cached, so its prefill is not expected.
func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// prefixCache tracks which prompt blocks the endpoints have cached: those that this entry
// sent there or another entry reported.
type prefixCache struct {
	// blocks holds the time at which a block was last sent to an endpoint.
	blocks map[blockKey]clock.Millis
	// unreported holds, by endpoint, the shared blocks that this entry has sent since its last
	// full report, except blocks that are known to have been sent there within half of prefixTTL.
	// The last block of a prompt is not reported: it belongs to a single request or session, which
	// stays with its entry.
	unreported map[uint32][]uint32
}

func newPrefixCache() prefixCache {
	return prefixCache{blocks: make(map[blockKey]clock.Millis), unreported: make(map[uint32][]uint32)}
}

// recordSent records the blocks of a prompt that this entry sends.
func (c *prefixCache) recordSent(endpoint uint32, q Query) {
	for i, hash := range q.hashes {
		key := blockKey{endpoint, hash}
		at, ok := c.blocks[key]
		recent := ok && q.Now-at <= prefixTTL/2
		if i < len(q.Blocks)-1 && !recent {
			c.unreported[endpoint] = append(c.unreported[endpoint], key.block)
		}
		c.blocks[key] = q.Now
	}
	c.evict(q.Now)
}

// recordReported records blocks that another entry sent.
func (c *prefixCache) recordReported(endpoint uint32, hashes []uint32, now clock.Millis) {
	for _, hash := range hashes {
		c.blocks[blockKey{endpoint, hash}] = now
	}
	c.evict(now)
}

// holds reports whether an endpoint is assumed to have a block cached.
func (c *prefixCache) holds(endpoint, block uint32, now clock.Millis) bool {
	at, ok := c.blocks[blockKey{endpoint, block}]
	return ok && now-at <= prefixTTL
}

// evict drops blocks that were last sent more than half of prefixTTL ago if there are more than
// maxBlocks.
func (c *prefixCache) evict(now clock.Millis) {
	if len(c.blocks) <= maxBlocks {
		return
	}
	for key, at := range c.blocks {
		if now-at > prefixTTL/2 {
			delete(c.blocks, key)
		}
	}
}
