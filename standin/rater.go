package standin

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
)

// score is 1 for so many answers in a hundred as the version's true quality
// says, chosen by the request's hash so that runs repeat.
func (p *Platform) score(s provider.Sample) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	const parts = 10000
	if float64(xxhash.Sum64String(s.Request+s.Version)%parts) < p.qualities[s.Version]*parts {
		return 1
	}
	return 0
}
