package site

import (
	"bytes"
	"maps"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// The store may come back from an older copy. What this system wrote since is gone; operators and
// endpoints write their records again. Until they have, a full read lacks what this entry knows.

const (
	// settleTime is how long after the store came back from an older copy what this entry knows stays
	// in force although the store lacks it.
	settleTime = 2 * clock.Second
	// settlingLease is how long keys are good meanwhile after a confirmation, if that is shorter than
	// their lease. The revocation of a key may be missing: an entry that is cut off before it is
	// written again then uses the key for a shorter time. Entries in touch are confirmed more often.
	settlingLease = 3 * clock.Second
	// settlingWait is the long-poll timeout of the operators' stream meanwhile.
	settlingWait = 300 * clock.Millis(1)
	// goneTime is how long after the store came back it may list endpoints that are gone: three of
	// their heartbeats, and a margin.
	goneTime = 5 * clock.Second
	// rewriteTime is how long after the store came back an order with the content of the known one
	// is taken for the same order, written again.
	rewriteTime = 10 * clock.Second
)

// settling is what the state keeps of the time before the store came back from an older copy.
type settling struct {
	// since is when this entry noticed that the store came back, until is when what the store lacks is
	// given up. Both are never if the store did not come back.
	since clock.Millis
	until clock.Millis
	// records holds those of the store that contradict what this entry knows, orders the orders
	// decoded from them.
	records map[string]Record
	orders  map[string]upgrade.Order
	// retained holds the keys of records that the store lacks, which are given up once it has settled.
	retained map[string]bool
}

func newSettling(since, until clock.Millis) settling {
	return settling{since: since, until: until, records: make(map[string]Record), orders: make(map[string]upgrade.Order), retained: make(map[string]bool)}
}

// inheritSettling takes over what waits at the entry whose state was taken.
func (s *State) inheritSettling(e StateReceived) {
	if s.now >= s.settling.until {
		return
	}
	for _, r := range e.Retained.Records {
		s.settling.retained[r.Key] = true
	}
	for _, z := range e.Retained.Zones {
		s.zonesOut[z.Zone] = false
	}
	for _, r := range e.Deferred.Records {
		s.settling.records[r.Key] = r
	}
	for _, o := range e.Deferred.Orders {
		s.settling.orders[o.Service] = o
	}
}

// settlingAge returns the age that a read gives to the confirmation of the configuration while the
// store settles.
func (s *State) settlingAge() clock.Millis {
	return max(s.self.KeyLease-settlingLease, 0)
}

// enterEra notices that the store came back from an older copy, by the era of an answer or of another
// entry's state.
func (s *State) enterEra(era int64) (effects []Effect) {
	if era <= s.era {
		return nil
	}
	before := s.era
	s.era = era
	if before == 0 {
		return nil
	}
	s.settling = newSettling(s.now, s.now+settleTime)
	s.fleet.KeepGone(true)
	// Endpoints register again like after an outage.
	s.recoveredAt = s.now
	s.registeredAt = ""
	s.statusEnd = unread
	s.verdictsToCheck = maps.Clone(s.verdicts)
	return []Effect{LogLine{Message: "Store came back from an older copy", Fields: []any{
		"era", era, "before", before, "operator-end", s.operator.Offset, "config", s.configVersion(),
	}, Warn: true}, Publish{}}
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (s *State) configVersion() int64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version()
}

// settled ends the settling once its time has passed: what the store still lacks is gone.
func (s *State) settled() (effects []Effect) {
	if s.settling.since != never && s.now-s.settling.since >= goneTime {
		s.fleet.KeepGone(false)
	}
	if s.settling.until == never || s.now < s.settling.until {
		return nil
	}
	settling := s.settling
	s.settling.until = never
	for key := range settling.retained {
		delete(s.operatorRecords, key)
	}
	maps.Copy(s.operatorRecords, settling.records)
	for _, zone := range s.fleet.ZonesOut() {
		if !s.zonesOut[zone] {
			effects = append(effects, s.setZone(zone, false)...)
		}
	}
	for _, o := range settling.orders {
		effects = append(effects, s.orderReceived(o, false, nil)...)
	}
	effects = append(effects, s.selectVersions()...)
	// The next report asks for a confirmation, as soon as a reader has one.
	s.lastReportAt = s.now - reportInterval + settledQueryDelay
	return append(effects, LogLine{Message: "Store has settled", Fields: []any{"era", s.era, "given-up", len(settling.retained), "taken", len(settling.records)}}, Publish{})
}

// settledQueryDelay is how long after the end of the settling an entry asks for a confirmation.
const settledQueryDelay = 500 * clock.Millis(1)

// retainRecords returns which of the records of a full read replace those that this entry has. While
// the store settles, what it lacks is retained, and what differs waits.
func (s *State) retainRecords(u OperatorUpdate) (replacing []Record) {
	if s.now >= s.settling.until {
		return u.Records
	}
	listed := make(map[string]bool)
	for _, r := range u.Invalid {
		listed[r.Key] = true
	}
	for _, r := range u.Records {
		listed[r.Key] = true
		known, ok := s.operatorRecords[r.Key]
		switch {
		case !ok || bytes.Equal(known.Value, r.Value):
			replacing = append(replacing, r)
		default:
			s.settling.records[r.Key] = r
			replacing = append(replacing, known)
		}
	}
	for key, known := range s.operatorRecords {
		if !listed[key] {
			s.settling.retained[key] = true
			replacing = append(replacing, known)
		}
	}
	return replacing
}

// deferOrder reports whether an order of a full read waits until the store has settled: it differs
// from the known one and may be an earlier one.
func (s *State) deferOrder(o upgrade.Order, full bool) bool {
	delete(s.settling.orders, o.Service)
	u := s.upgrades[o.Service]
	if !full || s.now >= s.settling.until || u == nil || sameOrder(u.Order(), o) {
		return false
	}
	s.settling.orders[o.Service] = o
	return true
}

// sameOrder reports whether two orders ask for the same.
func sameOrder(a, b upgrade.Order) bool {
	return a.Service == b.Service && a.Target == b.Target && a.Duration == b.Duration
}

// writtenAgain reports whether an order is the known one, which operators wrote again because the
// store had lost it, or whose record has the same offset in another era.
func (s *State) writtenAgain(known, o upgrade.Order) bool {
	from, to := positionOf(known.Number), positionOf(o.Number)
	if !sameOrder(known, o) || from.Era == to.Era {
		return false
	}
	return from.Offset == to.Offset || s.settling.since != never && s.now-s.settling.since < rewriteTime
}

// rewriteVerdicts schedules the verdicts that the store lost to be written again.
func (s *State) rewriteVerdicts(e VerdictsRead) {
	if !e.Full {
		return
	}
	for _, v := range e.Verdicts {
		if s.verdictsToCheck[v.Service] == v {
			delete(s.verdictsToCheck, v.Service)
		}
	}
	for service, v := range s.verdictsToCheck {
		u := s.upgrades[service]
		if _, pending := s.pendingVerdicts[service]; !pending && u != nil && u.Order().Target == v.Target && u.Phase() == v.Phase {
			s.scheduleVerdict(v)
		}
	}
	s.verdictsToCheck = nil
}
