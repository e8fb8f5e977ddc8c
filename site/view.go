package site

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// View is an immutable snapshot of a process's state.
type View struct {
	config      *catalog.Config
	confirmedAt clock.Millis
	confirmedBy string
	fleet       *fleet.Snapshot
	// entries is the number of entries that share the site's limits; at least 1.
	entries int
	shares  map[string]placement.Share
	started bool
	// lacksConfig is true if the operators' stream was read and has no valid configuration.
	lacksConfig bool
	leaving     bool
	versions    map[string]versionState
	addresses   map[string]string
	// delegates holds the first delegates but this entry, ahead the entries that have reported operators'
	// records that this one misses.
	delegates []EntryAddress
	ahead     []EntryAddress
	// spreaders holds the addresses of the entries that pass on what all must know, without this one,
	// and spreaderRank the number of running entries before this one in their order.
	spreaders    []string
	spreaderRank int
	// others holds the addresses of all other entries.
	others        []string
	neighbours    []string
	zoneAddresses []string
	fullMesh      bool
	// upgradeActive is true while an upgrade is in progress or its verdict pending,
	// mayWriteVerdict while a verdict is pending and this entry is one of those that may have to
	// write it.
	upgradeActive   bool
	mayWriteVerdict bool
	// checksVerdicts is true if the store may have lost verdicts and this entry is one of those that
	// write them.
	checksVerdicts bool
	// reader is true if this process reads the store on behalf of all entries.
	reader       bool
	operator     Position
	peerOperator Position
	// newerVersionAt is when another entry last reported a newer configuration; never if none did.
	newerVersionAt clock.Millis
	statusEnd      Position
	// era is the highest known era of the store. settledAt is when what the store lacks after it came
	// back from an older copy is given up; never if that does not matter.
	era       int64
	settledAt clock.Millis
	// registeredAt is this entry's address in the store from an earlier start; empty if it is not
	// known to be there. entriesKnown is true if the other entries are known.
	registeredAt string
	entriesKnown bool
	// fullerList is an entry that knows more entries than this one; without an address if none is
	// known.
	fullerList       EntryAddress
	fleetConfirmedAt clock.Millis
	divergedAt       clock.Millis
	// lacksHandover is true if this process has to ask what happened before it started.
	lacksHandover bool
	// listDue is true if this process has to read all registrations again.
	listDue bool
	// storeServesPeers is true while the store serves the entries that read it on behalf of all.
	storeServesPeers bool
	// probedByPeers is true while the store fails all entries and others probe it.
	probedByPeers bool
}

// versionState determines the version of a service's requests.
type versionState struct {
	rule upgrade.Rule
	// running is true during an upgrade; the fields below are only valid then.
	running  bool
	upgrade  upgrade.Order
	schedule upgrade.Schedule
	exposure float64
	kept     map[uint64]bool
}

// Config returns the configuration in force; nil before the first one.
func (v *View) Config() *catalog.Config { return v.config }

// ConfirmedAt returns when the last read that confirmed the configuration as the newest one was
// sent.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// ConfirmedBy returns what confirmed the configuration: "read", "state", or "reply/" and the name
// of the entry that replied.
func (v *View) ConfirmedBy() string { return v.confirmedBy }

// Fleet returns the endpoints.
func (v *View) Fleet() *fleet.Snapshot { return v.fleet }

// Entries returns the number of entries that share the site's limits.
func (v *View) Entries() int { return v.entries }

// Shares returns this entry's share of the endpoints' limits, by zone of the endpoints.
func (v *View) Shares() map[string]placement.Share { return v.shares }

// Neighbours returns the addresses of the entries to which this one reports its work at
// endpoints: all others on a small site, those of its zone on a large one, which mostly use the
// same endpoints.
func (v *View) Neighbours() []string { return v.neighbours }

// FirstSpreader reports whether this entry is the one that acts where only one may.
func (v *View) FirstSpreader() bool { return v.started && v.spreaderRank == 0 }

// Spreads reports whether this entry passes on to all others what it receives for all.
func (v *View) Spreads() bool { return v.spreaderRank < spreaderCount }

// Audience returns the addresses of the entries to which this one sends what all must know: all others
// if it passes it on, those that do otherwise.
func (v *View) Audience() []string {
	if v.Spreads() {
		return v.others
	}
	return v.spreaders
}

// DistantEntries returns, in order, the addresses of the other entries to which this one does not report its work.
func (v *View) DistantEntries() (out []string) {
	for _, address := range v.others {
		if !slices.Contains(v.neighbours, address) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// ZoneAddresses returns the addresses of the other entries of this entry's zone, as far as reports
// from them have arrived.
func (v *View) ZoneAddresses() []string { return v.zoneAddresses }

// FullMesh reports whether the entries of all zones report their work to this one.
func (v *View) FullMesh() bool { return v.fullMesh }

// Started reports whether the configuration, the endpoints and the status stream were read.
func (v *View) Started() bool { return v.started }

// Reader reports whether this process reads the store on behalf of all entries.
func (v *View) Reader() bool { return v.reader }

// wants reports whether this process has to read a stream itself at the given time.
func (v *View) wants(s Stream, now clock.Millis) bool {
	switch s {
	case OperatorStream:
		// While the store settles, reading it does not make the confirmation recent.
		return v.reader || now-v.confirmedAt > maxConfirmationAge && now >= v.settledAt || v.missesChange(s, now)
	case EndpointStream:
		return v.reader || now-v.fleetConfirmedAt > maxFleetAge || v.divergedAt > 0 && now-v.divergedAt > divergenceTimeout
	case StatusStream:
		return v.upgradeActive && (v.reader || v.mayWriteVerdict) || v.checksVerdicts
	default:
		return true
	}
}

// missesChange reports whether another entry is known to have records of a stream that this process
// lacks.
func (v *View) missesChange(s Stream, now clock.Millis) bool {
	switch s {
	case OperatorStream:
		return v.peerOperator.After(v.operator) || v.missesVersion(now)
	case EndpointStream:
		return v.divergedAt > 0 && now-v.divergedAt > divergenceTimeout
	}
	return false
}

// missesVersion reports whether another entry has a newer configuration. It is asked for only for a
// while: the entry may be gone, and the store may lack that version.
func (v *View) missesVersion(now clock.Millis) bool { return now-v.newerVersionAt < versionPatience }

// versionPatience is how long after a report of a newer configuration its sender is asked for it.
const versionPatience = 2 * clock.Second

// hasActiveUpgrade reports whether an upgrade is in progress or its verdict still pending.
func (v *View) hasActiveUpgrade() bool { return v.upgradeActive }

// Leaving reports whether the process was asked to stop.
func (v *View) Leaving() bool { return v.leaving }

// donors returns the entries to ask for what this one misses.
func (v *View) donors() []EntryAddress {
	if len(v.ahead) > 0 {
		return v.ahead
	}
	return v.delegates
}

// anyOther returns an entry that may be asked for what it knows, another one for each attempt; without an address if there
// is none. spread, from 0 to 1, divides the entries that ask.
func (v *View) anyOther(spread float64, attempt int) (other EntryAddress) {
	all := v.otherEntries()
	if len(all) == 0 {
		return other
	}
	slices.SortFunc(all, func(a, b EntryAddress) int { return strings.Compare(a.Name, b.Name) })
	return all[(int(spread*float64(len(all)))+attempt)%len(all)]
}

// otherEntries returns the entries that may be asked for their state.
func (v *View) otherEntries() (out []EntryAddress) {
	for name, address := range v.addresses {
		if address != "" && slices.Contains(v.others, address) {
			out = append(out, EntryAddress{Name: name, Address: address})
		}
	}
	return out
}

// Addresses returns the addresses of the known entries by name.
func (v *View) Addresses() map[string]string { return v.addresses }

// Rule returns the rule that selects a service's version at the given time.
func (v *View) Rule(service string, now clock.Millis) upgrade.Rule {
	vs := v.versions[service]
	if !vs.running {
		return vs.rule
	}
	return upgrade.RuleAt(vs.upgrade.Target, vs.schedule, now, vs.rule.Current, vs.exposure)
}

// Upgrade returns the order of a service's upgrade in progress.
func (v *View) Upgrade(service string) (o upgrade.Order, running bool) {
	vs := v.versions[service]
	return vs.upgrade, vs.running
}

// KeptByPeer reports whether another entry keeps a session, given by its hash, on the old version
// of a service.
func (v *View) KeptByPeer(service string, session uint64) bool {
	return v.versions[service].kept[session]
}
