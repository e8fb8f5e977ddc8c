package placement

import (
	"fmt"

	"github.com/parsleydeal/parsleydeal/fleet"
)

// obstacle is what speaks against sending a request to an endpoint; the greater
// ones rule it out.
type obstacle int

const (
	// unhindered means that nothing does.
	unhindered obstacle = iota
	// lost means that the endpoint could not be reached lately.
	lost
	// loaded means that its slots are taken and a queue stands before them.
	loaded
	// bounded means that this entry has sent its share of what the endpoint bears.
	bounded
	// limited means that this entry has sent its share of the rate that the endpoint names.
	limited
	// paused means that the endpoint wants nothing from this entry for a while.
	paused
	// late means that the prompts before it would take longer than the request has.
	late
	obstacles
)

// ObstacleCounts counts the endpoints that may get a request by what speaks against each.
// It tells in a refusal's log line which bound was met.
type ObstacleCounts [obstacles]int

// CountObstacles looks at the endpoints as Pick does.
func (b *Selector) CountObstacles(s *fleet.Snapshot, q Query) (c ObstacleCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q = q.hashed()
	all := b.candidates(s, q)
	preferred := b.preferred(all, q)
	for _, at := range all {
		_, o := b.cost(s, at, q, at == preferred)
		c[o]++
	}
	return c
}

// String names the counts for a refusal's message.
func (c ObstacleCounts) String() string {
	return fmt.Sprintf("%d loaded, %d at this entry's share, %d at the rate they name, %d that want nothing for now, %d too late", c[loaded], c[bounded], c[limited], c[paused], c[late])
}
