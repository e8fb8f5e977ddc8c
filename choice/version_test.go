package choice

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/table"
)

// A version is held for one organisation. That organisation's requests must be distributed over
// the other versions by their shares, and the requests of all other organisations must keep their
// version.
func TestSelectVersionSkipsHeldVersion(t *testing.T) {
	is := is.New(t)
	m := table.RouteModel{Model: "m", Shares: map[string]float64{"1": 0.5, "2": 0.2, "3": 0.3}}
	tables := &table.Tables{Versions: map[string]table.Version{}}
	holds := rollout.NewHolds(&wire.Hold{Version: "m@3", Organisation: "o"})
	const n = 20_000
	unheld, held := map[string]int{}, map[string]int{}
	for i := range uint64(n) {
		hash := xxhash.Sum64([]byte{byte(i), byte(i >> 8), 7})
		before := SelectVersion(tables, nil, m, "o", hash)
		after := SelectVersion(tables, holds, m, "o", hash)
		is.Equal(SelectVersion(tables, holds, m, "other", hash), before)
		is.True(before == "m@3" || after == before) // requests of versions that are not held keep their version
		unheld[before]++
		held[after]++
	}
	is.True(withinFivePercent(unheld["m@3"], n*3/10))
	is.Equal(held["m@3"], 0)
	is.True(withinFivePercent(held["m@1"], n*5/7))
}

func withinFivePercent(got, want int) bool {
	return got > want*95/100 && got < want*105/100
}
