// Package checkpoint decides when a process appends the tables to the log once
// more, so that retention never takes the configuration away.
package checkpoint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	// Interval is the longest span between two checkpoints. The log must keep
	// records for at least three times as long.
	Interval = clock.Hour
	// maxRecords is how many records follow a checkpoint before the next, so
	// that a process that starts has few to read.
	maxRecords = 256
	// step is how much later the next in rank appends.
	step = 30 * clock.Second
	// ranks is how many processes may append one checkpoint.
	ranks = 4
)

// State reduces what concerns checkpoints. The zero value lacks self.
type State struct {
	self string
	// entries holds the live entries' IDs.
	entries []string
	// savedAt is the offset of the last checkpoint seen and seenAt when this
	// process saw it, or began.
	savedAt int64
	seenAt  clock.Millis
	begun   bool
	// fullAt is when this process saw maxRecords since the last checkpoint, or
	// that the log no longer keeps it; 0 while neither is so.
	fullAt clock.Millis
	// first is the lowest offset that the log was seen to keep.
	first int64
	// triedAt is when this process last appended; 0 before.
	triedAt clock.Millis
	tries   int
}

// NewState returns the state of a process.
func NewState(self string) State { return State{self: self, savedAt: -1} }

// Reduce takes one event and returns the checkpoint to append, if any. Doing it
// twice is harmless: processes that have read all take no notice of either.
func (s *State) Reduce(e event.Event, tables *table.State) (effects []event.Effect) {
	switch e := e.(type) {
	case event.VMsListed:
		s.list(e.VMs)
	case event.LogRead:
		if e.Stream == provider.ConfigStream {
			s.first = max(s.first, e.Page.First)
		}
	case event.Tick:
		return s.tick(e.Now, tables)
	}
	return nil
}

func (s *State) list(vms []provider.VM) {
	s.entries = s.entries[:0]
	for _, vm := range vms {
		if vm.Role == provider.EntryRole && !vm.Leaving {
			s.entries = append(s.entries, vm.ID)
		}
	}
}

func (s *State) tick(now clock.Millis, tables *table.State) (effects []event.Effect) {
	s.note(now, tables)
	if !s.due(now) {
		return nil
	}
	c, ok := tables.Checkpoint()
	if !ok {
		return nil
	}
	data, err := c.Encode()
	if err != nil || len(data) > table.MaxCheckpointBytes {
		return nil
	}
	s.triedAt = now
	s.tries++
	return []event.Effect{event.Append{Stream: provider.ConfigStream, ID: fmt.Sprintf("checkpoint-%s-%d", s.self, s.tries), Data: data}}
}

// note sees whether a checkpoint has counted since the last tick.
func (s *State) note(now clock.Millis, tables *table.State) {
	if at := tables.SavedAt(); !s.begun || at != s.savedAt {
		s.begun, s.savedAt, s.seenAt, s.fullAt, s.triedAt = true, at, now, 0, 0
	}
	// A log that keeps neither its first record nor a checkpoint gives a process
	// that starts nothing to begin from: that is due at once, however short the
	// retention.
	expired := s.first > max(s.savedAt, 0)
	if s.fullAt == 0 && (expired || tables.Offset()-(s.savedAt+1) >= maxRecords) {
		s.fullAt = now
	}
}

// due reports whether it is this process's turn. The next in rank steps in when
// the one before is gone, or cut off from the log.
func (s *State) due(now clock.Millis) bool {
	r := s.rank()
	if r >= ranks || s.triedAt > 0 && now-s.triedAt < ranks*step {
		return false
	}
	wait := clock.Millis(r) * step
	return now-s.seenAt >= Interval+wait || s.fullAt > 0 && now-s.fullAt >= wait
}

// rank is this process's place by rendezvous hashing among the live entries.
func (s *State) rank() (place int) {
	if !slices.Contains(s.entries, s.self) {
		return ranks
	}
	mine := s.score(s.self)
	for _, id := range s.entries {
		if c := cmp.Compare(s.score(id), mine); c < 0 || c == 0 && id < s.self {
			place++
		}
	}
	return place
}

func (s *State) score(id string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("checkpoint/%d/%s", s.savedAt, id))
}
