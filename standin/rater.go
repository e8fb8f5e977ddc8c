package standin

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
)

// score returns 1 for a fraction of the answers that equals the version's true quality, and 0 for the
// others. The hash of request and version selects them, so that runs are repeatable.
func (p *Platform) score(s provider.Sample) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	const buckets = 10000
	if float64(xxhash.Sum64String(s.Request+s.Version)%buckets) < p.qualities[s.Version]*buckets {
		return 1
	}
	return 0
}
