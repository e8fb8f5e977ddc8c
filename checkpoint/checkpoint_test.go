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

var listed = event.VMsListed{VMs: []provider.VM{{ID: "entry-1", Role: provider.EntryRole}, {ID: "entry-2", Role: provider.EntryRole}, {ID: "entry-3", Role: provider.EntryRole}}}

// appenders returns when each process first appends a checkpoint, at ticks of one minute.
func appenders(tables *table.State, before []event.Event, minutes int) (appendedAt map[string]clock.Millis) {
	appendedAt = make(map[string]clock.Millis)
	for _, vm := range listed.VMs {
		s := NewState(vm.ID)
		for _, e := range append([]event.Event{listed}, before...) {
			s.Reduce(e, tables)
		}
		for m := range minutes {
			now := clock.Minute * clock.Millis(m+1)
			if len(s.Reduce(event.Tick{Now: now}, tables)) > 0 && appendedAt[vm.ID] == 0 {
				appendedAt[vm.ID] = now
			}
		}
	}
	return appendedAt
}

// No change is published for a long time, and the log's retention would drop the tables. One
// process must append a checkpoint each Interval. The processes of the next ranks must append one
// only if it did not; otherwise every entry would append one.
func TestOneProcessAppendsFirst(t *testing.T) {
	is := is.New(t)
	var tables table.State
	tables.Apply(0, []byte(change))
	is.Equal(len(appenders(&tables, nil, 60)), 0)
	is.Equal(len(appenders(&tables, nil, 61)), 1)
	is.Equal(len(appenders(&tables, nil, 63)), 3)
}

// The log has dropped the only record with the tables, earlier than the agreed retention. A process
// that starts now would find no configuration, so a checkpoint must be appended at once.
func TestExpiredTablesAreAppendedAtOnce(t *testing.T) {
	is := is.New(t)
	var tables table.State
	tables.Apply(0, []byte(change))
	read := event.LogRead{Stream: provider.ConfigStream, Page: provider.Page{First: 1, Head: 1}}
	is.Equal(len(appenders(&tables, []event.Event{read}, 1)), 1)
}
