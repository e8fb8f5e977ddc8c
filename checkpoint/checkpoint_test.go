package checkpoint

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

const change = "id = \"a\"\nauthor = \"ops\"\nkind = \"whole\"\nbase = -1\n[tables.zones.a]\nstate = \"in\"\n"

var site = event.VMsListed{VMs: []provider.VM{{ID: "entry-1", Role: provider.EntryRole}, {ID: "entry-2", Role: provider.EntryRole}, {ID: "entry-3", Role: provider.EntryRole}}}

// appenders returns, minute by minute, who appends a checkpoint.
func appenders(tables *table.State, before []event.Event, minutes int) (names map[string]clock.Millis) {
	names = make(map[string]clock.Millis)
	for _, vm := range site.VMs {
		s := NewState(vm.ID)
		for _, e := range append([]event.Event{site}, before...) {
			s.Reduce(e, tables)
		}
		for m := range minutes {
			now := clock.Minute * clock.Millis(m+1)
			if len(s.Reduce(event.Tick{Now: now}, tables)) > 0 && names[vm.ID] == 0 {
				names[vm.ID] = now
			}
		}
	}
	return names
}

// Nothing is published for long. One process appends the tables again within
// the hour, and the next in rank only when that one did not.
func TestOneProcessAppendsFirst(t *testing.T) {
	is := is.New(t)
	var tables table.State
	tables.Apply(0, []byte(change))
	is.Equal(len(appenders(&tables, nil, 60)), 0)
	is.Equal(len(appenders(&tables, nil, 61)), 1)
	is.Equal(len(appenders(&tables, nil, 63)), 3)
}

// The log drops the only record that has the tables, sooner than agreed. A
// process that starts now would find nothing, so a checkpoint is due at once.
func TestExpiredTablesAreAppendedAtOnce(t *testing.T) {
	is := is.New(t)
	var tables table.State
	tables.Apply(0, []byte(change))
	read := event.LogRead{Stream: provider.ConfigStream, Page: provider.Page{First: 1, Head: 1}}
	is.Equal(len(appenders(&tables, []event.Event{read}, 1)), 1)
}
