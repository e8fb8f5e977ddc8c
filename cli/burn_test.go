package cli

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/provider"
)

// One entry of the VM list is unreachable, so its requests are missing from the sums. The report
// must list the entry, since otherwise it could show a better service than callers had.
func TestBurnSumsEntriesAndListsMissing(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, "quality-target = 0.9\n", "quality-target = 0.9\nobjective = { availability = 0.99, first-token = \"10s\", target = 0.95 }\n")
	for range 3 {
		_, status, err := d.sendChat(t.Context(), "dossier", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	unreachable := provider.VM{ID: "entry-gone", Role: provider.EntryRole, Zone: "zone-a", Address: "127.0.0.1:1"}
	d.platform.SetVMs(append(d.vms, unreachable))
	evaluation, err := Burn(t.Context(), provider.NewHTTP(d.base, http.DefaultClient).VMList(), peer.NewPool())
	is.NoErr(err)
	is.Equal(evaluation.Missing, []string{"entry-gone"})
	is.Equal(evaluation.Processes, 2)
	for _, l := range evaluation.Lines {
		if l.Route == "dossier" && (l.Objective == "availability" || l.Objective == "first-token") {
			is.Equal(l.Events, int64(3))
			is.Equal(l.BudgetRemaining, 1.0)
		}
	}
	is.Equal(len(evaluation.Latencies), 1)
}
