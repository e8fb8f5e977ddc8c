// Package checkpoint decides when a process appends the complete tables to the log
// again, so that the configuration is never lost to the log's retention.
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
	// Interval is the maximum time between two checkpoints. The log must retain records
	// for at least three times as long.
	Interval = clock.Hour
	// recordsPerCheckpoint is the number of records after a checkpoint that makes the next
	// one due, so that a starting process has few records to read.
	recordsPerCheckpoint = 256
	// rankDelay is how much longer the process of each rank waits than that of the rank before it.
	rankDelay = 30 * clock.Second
	// maxRanks is the maximum number of processes that may append the same checkpoint.
	maxRanks = 4
)

// State decides when this process appends a checkpoint. Use NewState; the zero value
// lacks the ID of the process.
type State struct {
	self string
	// entries holds the IDs of the live entries.
	entries []string
	// lastOffset is the offset of the last checkpoint seen. lastSeenAt is when this process saw it,
	// or the time of its first tick if it has seen none.
	lastOffset  int64
	lastSeenAt  clock.Millis
	initialized bool
	// triggeredAt is when this process saw recordsPerCheckpoint records since the last
	// checkpoint, or that the log no longer retains that checkpoint; 0 if neither.
	triggeredAt clock.Millis
	// firstOffset is the highest first offset of the log that this process has seen.
	firstOffset int64
	// lastAppendAt is when this process last appended a checkpoint; 0 if it has not appended one
	// since the last checkpoint seen.
	lastAppendAt clock.Millis
	appends      int
}

// NewState returns the initial state of the process with ID self.
func NewState(self string) State { return State{self: self, lastOffset: -1} }

// Reduce applies one event and returns the append of a checkpoint if one is due. A
// duplicate checkpoint is harmless: processes that have applied all records ignore it.
func (s *State) Reduce(e event.Event, tables *table.State) (effects []event.Effect) {
	switch e := e.(type) {
	case event.VMsListed:
		s.setEntries(e.VMs)
	case event.LogRead:
		if e.Stream == provider.ConfigStream {
			s.firstOffset = max(s.firstOffset, e.Page.First)
		}
	case event.Tick:
		return s.tick(e.Now, tables)
	}
	return nil
}

func (s *State) setEntries(vms []provider.VM) {
	s.entries = s.entries[:0]
	for _, vm := range vms {
		if vm.Role == provider.EntryRole && !vm.Leaving {
			s.entries = append(s.entries, vm.ID)
		}
	}
}

func (s *State) tick(now clock.Millis, tables *table.State) (effects []event.Effect) {
	s.update(now, tables)
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
	s.lastAppendAt = now
	s.appends++
	return []event.Effect{event.Append{Stream: provider.ConfigStream, ID: fmt.Sprintf("checkpoint-%s-%d", s.self, s.appends), Data: data}}
}

// update tracks the last checkpoint and whether the next one is due before Interval.
func (s *State) update(now clock.Millis, tables *table.State) {
	if at := tables.CheckpointOffset(); !s.initialized || at != s.lastOffset {
		s.initialized, s.lastOffset, s.lastSeenAt, s.triggeredAt, s.lastAppendAt = true, at, now, 0, 0
	}
	// If the log retains neither its first record nor a checkpoint, a starting process
	// cannot build the tables. A checkpoint is then due at once, however short the
	// retention is.
	expired := s.firstOffset > max(s.lastOffset, 0)
	if s.triggeredAt == 0 && (expired || tables.Offset()-(s.lastOffset+1) >= recordsPerCheckpoint) {
		s.triggeredAt = now
	}
}

// due reports whether this process has to append a checkpoint now. The process of the
// next rank appends if the one before it is unreachable or cannot use the log.
func (s *State) due(now clock.Millis) bool {
	r := s.rank()
	if r >= maxRanks || s.lastAppendAt > 0 && now-s.lastAppendAt < maxRanks*rankDelay {
		return false
	}
	wait := clock.Millis(r) * rankDelay
	return now-s.lastSeenAt >= Interval+wait || s.triggeredAt > 0 && now-s.triggeredAt >= wait
}

// rank returns this process's rank among the live entries by rendezvous hashing, from 0.
// It is maxRanks if this process is not a live entry.
func (s *State) rank() (rank int) {
	if !slices.Contains(s.entries, s.self) {
		return maxRanks
	}
	mine := s.score(s.self)
	for _, id := range s.entries {
		if c := cmp.Compare(s.score(id), mine); c < 0 || c == 0 && id < s.self {
			rank++
		}
	}
	return rank
}

func (s *State) score(id string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("checkpoint/%d/%s", s.lastOffset, id))
}
