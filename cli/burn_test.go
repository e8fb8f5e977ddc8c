package cli

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/provider"
)

// An operator asks for the burn while one entry of the list is gone. Its
// requests are not in the figures; a report that kept that quiet would look
// better than the service was.
func TestBurnSumsEntriesAndListsMissing(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, "quality-target = 0.9\n", "quality-target = 0.9\nobjective = { availability = 0.99, first-token = \"10s\", target = 0.95 }\n")
	for range 3 {
		_, status, err := d.answerTo(t.Context(), "dossier", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	gone := provider.VM{ID: "entry-gone", Role: provider.EntryRole, Zone: "zone-a", Address: "127.0.0.1:1"}
	d.platform.SetVMs(append(d.vms, gone))
	v, err := Burn(t.Context(), provider.NewHTTP(d.base, http.DefaultClient).VMList(), peer.NewPool())
	is.NoErr(err)
	is.Equal(v.Missing, []string{"entry-gone"})
	is.Equal(v.Processes, 2)
	for _, l := range v.Lines {
		if l.Route == "dossier" && (l.Objective == "availability" || l.Objective == "first-token") {
			is.Equal(l.Events, int64(3))
			is.Equal(l.BudgetRemaining, 1.0)
		}
	}
	is.Equal(len(v.Latencies), 1)
}
