package choice

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/table"
)

// A version is held for one organisation. Its requests must spread over the
// other versions, those of all others must land where they did before, and the
// shares must hold without any state that processes share.
func TestSelectVersionSkipsHeldVersion(t *testing.T) {
	is := is.New(t)
	m := table.RouteModel{Model: "m", Shares: map[string]float64{"1": 0.5, "2": 0.2, "3": 0.3}}
	tables := &table.Tables{Versions: map[string]table.Version{}}
	holds := rollout.NewHolds(&wire.Hold{Version: "m@3", Organisation: "o"})
	const n = 20_000
	free, held := map[string]int{}, map[string]int{}
	for i := range uint64(n) {
		hash := xxhash.Sum64([]byte{byte(i), byte(i >> 8), 7})
		before := SelectVersion(tables, nil, m, "o", hash)
		after := SelectVersion(tables, holds, m, "o", hash)
		is.Equal(SelectVersion(tables, holds, m, "other", hash), before)
		is.True(before == "m@3" || after == before) // no session moves without need
		free[before]++
		held[after]++
	}
	is.True(near(free["m@3"], n*3/10))
	is.Equal(held["m@3"], 0)
	is.True(near(held["m@1"], n*5/7))
}

func near(got, want int) bool {
	return got > want*95/100 && got < want*105/100
}
