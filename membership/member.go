package membership

import (
	"slices"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// minSuspicion is how long a VM is suspected after a failed call. Each consecutive failure
	// doubles the duration, up to maxSuspicion.
	minSuspicion = clock.Second
	maxSuspicion = 30 * clock.Second
	// retiredEpochSilence is how long no message with the current epoch must have arrived before
	// messages with a retired one are accepted again.
	retiredEpochSilence = 5 * clock.Second
	// maxRetired bounds the stored retired epochs of one VM; the oldest one is dropped.
	maxRetired = 4
	// leavingReportDuration is how long after a leaving change digests report it.
	leavingReportDuration = 30 * clock.Second
	// maxLeavingDuration is how long a VM counts as leaving if it stays listed. A process that was
	// leaving has normally ended by then; if not, its gate refuses requests.
	maxLeavingDuration = 10 * clock.Minute
)

// sharedLoad holds the newest load of a VM. All snapshots share it, so that a load report needs no
// new snapshot.
type sharedLoad struct {
	load atomic.Pointer[wire.Load]
}

// member is the state of one VM.
type member struct {
	vm         provider.VM
	sharedLoad *sharedLoad
	// epoch identifies the current process on the VM; 0 if unknown.
	epoch uint64
	// retired holds at most maxRetired epochs of previous processes.
	retired []uint64
	// lastSeenAt is when the last message of the current process arrived; before the first one,
	// when the VM was first listed.
	lastSeenAt clock.Millis
	// answered is true once a message of the VM has arrived.
	answered bool
	// leaving is true if the VM's process reported that it is leaving. It is reset when another
	// process runs on the VM.
	leaving bool
	// leavingChanged is true for leavingReportDuration after a leaving change: the process started
	// to leave, or a new one took its place. leavingChangedAt is the time of the last such change.
	leavingChanged   bool
	leavingChangedAt clock.Millis
	// absent is true while the VM is missing from the list, which it has been since absentAt.
	absent   bool
	absentAt clock.Millis
	// failures counts the failed calls since the last message.
	failures     int
	suspected    bool
	suspectUntil clock.Millis
	// usedAt is when the VM last answered a request of this process.
	usedAt clock.Millis
	// used is true while the member is in polls.used.
	used bool
	// pollAt is the earliest time of the next poll.
	pollAt clock.Millis
}

// resetProcess discards the state of the process that ran on the VM before.
func (m *member) resetProcess() {
	m.sharedLoad.load.Store(nil)
	m.retireEpoch()
	m.leaving = false
	m.failures = 0
	m.suspected = false
	m.answered = false
}

func (m *member) retireEpoch() {
	if m.epoch == 0 {
		return
	}
	m.retired = append(m.retired, m.epoch)
	if len(m.retired) > maxRetired {
		m.retired = m.retired[1:]
	}
	m.epoch = 0
}

// fromCurrentProcess reports whether a message with this epoch is from the current process on the
// VM. An epoch of 0 is unknown and accepted. If a process was paused and resumes after another one
// has replaced it, both send messages for the VM. Those of the old process are outdated, so a
// retired epoch is accepted only if no message with the current one has arrived for
// retiredEpochSilence.
func (m *member) fromCurrentProcess(now clock.Millis, epoch uint64) bool {
	if epoch == 0 || epoch == m.epoch || m.epoch == 0 && !slices.Contains(m.retired, epoch) {
		return true
	}
	return !slices.Contains(m.retired, epoch) || now-m.lastSeenAt >= retiredEpochSilence
}

// recordContact records that a message from the VM arrived, which ends suspicion. It reports
// whether the snapshot must change.
func (m *member) recordContact(now clock.Millis, epoch uint64) (changed bool) {
	if !m.fromCurrentProcess(now, epoch) {
		return false
	}
	if epoch != 0 && epoch != m.epoch {
		changed = m.switchEpoch(now, epoch)
	}
	m.lastSeenAt = now
	m.answered = true
	m.failures = 0
	changed = changed || m.suspected
	m.suspected = false
	return changed
}

// switchEpoch makes the process with another epoch the current one. It reports whether it replaced
// a known process.
func (m *member) switchEpoch(now clock.Millis, epoch uint64) (changed bool) {
	m.retireEpoch()
	changed = len(m.retired) > 0
	m.retired = slices.DeleteFunc(m.retired, func(e uint64) bool { return e == epoch })
	m.epoch = epoch
	m.leaving = false
	m.sharedLoad.load.Store(nil)
	if changed {
		m.markLeavingChange(now)
	}
	return changed
}

func (m *member) markLeavingChange(now clock.Millis) {
	m.leavingChanged = true
	m.leavingChangedAt = now
}

// applyJoin applies a peer's report that a new process has started on the VM. It is needed if a
// process left and was replaced under the same address: no entry sends to a leaving VM, so none
// would receive a message of the new process, and the VM would stay unused.
func (m *member) applyJoin(now clock.Millis, epoch uint64) (changed bool) {
	if epoch == 0 || epoch == m.epoch || slices.Contains(m.retired, epoch) {
		return false
	}
	return m.switchEpoch(now, epoch)
}

// applyLeaving applies a report that the VM's process is leaving. A report with another epoch is
// about a previous process and is ignored.
func (m *member) applyLeaving(now clock.Millis, epoch uint64) (changed bool) {
	if m.leaving || epoch != 0 && m.epoch != 0 && epoch != m.epoch || slices.Contains(m.retired, epoch) {
		return false
	}
	if epoch != 0 {
		m.epoch = epoch
	}
	m.leaving = true
	m.markLeavingChange(now)
	return true
}

// applyLoad stores a load if it is newer than the stored one, since answers may arrive out of
// order. Loads of another epoch are dropped; a load without an epoch (0) is not. It reports whether
// the load was stored.
func (m *member) applyLoad(l *wire.Load) (stored bool) {
	if l.GetEpoch() != 0 && l.GetEpoch() != m.epoch {
		return false
	}
	if old := m.sharedLoad.load.Load(); old != nil && !newer(l, old) {
		return false
	}
	m.sharedLoad.load.Store(l)
	return true
}

// newer reports whether l is newer than old, which is a load of the same epoch. A load without
// epoch and sequence number is taken to be newer.
func newer(l, old *wire.Load) bool {
	if l.GetEpoch() == 0 && l.GetSequence() == 0 {
		return true
	}
	if l.GetGeneration() != old.GetGeneration() {
		return l.GetGeneration() > old.GetGeneration()
	}
	return l.GetSequence() > old.GetSequence()
}

// recordFailure records a failed call to the VM. It reports whether the snapshot must change.
func (m *member) recordFailure(now clock.Millis) (changed bool) {
	duration := minSuspicion << min(m.failures, 5)
	m.failures++
	m.suspectUntil = now + min(duration, maxSuspicion)
	changed = !m.suspected
	m.suspected = true
	return changed
}

// expire ends suspicion, leaving and the report of a leaving change if their time is over. It
// reports whether the snapshot must change.
func (m *member) expire(now clock.Millis) (changed bool) {
	if m.suspected && now >= m.suspectUntil {
		m.suspected = false
		changed = true
	}
	if m.leaving && now-m.leavingChangedAt >= maxLeavingDuration && !m.absent {
		m.leaving = false
		changed = true
	}
	if m.leavingChanged && now-m.leavingChangedAt >= leavingReportDuration {
		m.leavingChanged = false
		changed = true
	}
	return changed
}
