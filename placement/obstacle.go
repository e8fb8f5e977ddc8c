package placement

import (
	"fmt"

	"github.com/parsleydeal/parsleydeal/fleet"
)

// obstacle is a reason against sending a request to an endpoint. Endpoints with an obstacle
// greater than unreachable are never selected.
type obstacle int

const (
	noObstacle obstacle = iota
	// unreachable means that the endpoint could not be reached recently.
	unreachable
	// overloaded means that all slots are taken and a queue has formed.
	overloaded
	// overShare means that this entry has used up its share of the endpoint's bound.
	overShare
	// overRate means that this entry has used up its share of the advertised rate limit.
	overRate
	// paused means that the endpoint asked this entry to send nothing for a while.
	paused
	// tooLate means that the prompts ahead would take longer than the first-byte budget.
	tooLate
	obstacleKinds
)

// ObstacleCounts counts the candidates for a request by obstacle. Log lines of refusals
// contain it to show which limit applied.
type ObstacleCounts [obstacleKinds]int

// CountObstacles counts, by obstacle, the candidates that Select would consider. Unlike Select, it
// does not count the request against any limit.
func (sel *Selector) CountObstacles(s *fleet.Snapshot, q Query) (c ObstacleCounts) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	q = q.hashed()
	all := sel.candidates(s, q)
	q.sends = &recentSends{candidates: all}
	preferred := sel.preferred(all, q)
	for _, candidate := range all {
		_, o := sel.cost(s, candidate, q, candidate == preferred)
		c[o]++
	}
	return c
}

// String formats the counts for a refusal's message.
func (c ObstacleCounts) String() string {
	return fmt.Sprintf("%d loaded, %d at this entry's share, %d at the rate they name, %d that want nothing for now, %d too late", c[overloaded], c[overShare], c[overRate], c[paused], c[tooLate])
}
