package standin

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
)

// score rates an answer with 1 or 0, so that the fraction of answers rated 1 is the version's true
// quality. It uses a hash of request and version, so that a repeated run gets the same ratings.
func (p *Platform) score(s provider.Sample) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	const buckets = 10000
	if float64(xxhash.Sum64String(s.Request+s.Version)%buckets) < p.qualities[s.Version]*buckets {
		return 1
	}
	return 0
}
