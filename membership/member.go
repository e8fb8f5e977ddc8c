package membership

import (
	"slices"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// minSuspicion is how long a VM is suspected after the first failed call. Each consecutive
	// failure doubles the duration, up to maxSuspicion.
	minSuspicion = clock.Second
	maxSuspicion = 30 * clock.Second
	// retiredEpochSilence is how long the current epoch must be silent before messages of a
	// retired one are accepted again.
	retiredEpochSilence = 5 * clock.Second
	// maxRetired bounds the stored retired epochs of one VM; the oldest is dropped first.
	maxRetired = 4
	// leavingReportDuration is how long digests report a leaving change.
	leavingReportDuration = 30 * clock.Second
	// maxLeavingDuration is when leaving expires if the VM stays listed. A process that leaves has
	// ended by then; if it hasn't, its gate refuses requests.
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
	// lastSeenAt is when the last message of the current process arrived, at first when the VM was
	// listed.
	lastSeenAt clock.Millis
	// answered is true once a message of the VM has arrived.
	answered bool
	// leaving is true if the VM's process reported that it leaves; it is valid for the current
	// epoch only.
	leaving bool
	// leavingChanged is true for leavingReportDuration after a leaving change, which is a process
	// that leaves or a new one that has joined. leavingChangedAt is the time of the last such
	// change.
	leavingChanged   bool
	leavingChangedAt clock.Millis
	// absent is true while the list lacks the VM, since absentAt.
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
// VM; 0 is unknown and accepted. Two processes may send messages for one VM if an old one was
// paused and resumes beside its successor. Its messages are outdated by the whole pause, so a
// retired epoch is accepted only after retiredEpochSilence without a message of the current one.
func (m *member) fromCurrentProcess(now clock.Millis, epoch uint64) bool {
	if epoch == 0 || epoch == m.epoch || m.epoch == 0 && !slices.Contains(m.retired, epoch) {
		return true
	}
	return !slices.Contains(m.retired, epoch) || now-m.lastSeenAt >= retiredEpochSilence
}

// recordContact records that a message of the VM arrived, which ends suspicion. It reports whether
// the snapshot changes.
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

// switchEpoch makes the process of another epoch the current one. It reports whether the VM had a
// process before.
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

// applyJoin applies a peer's report that a new process has started on the VM. Without it, a VM
// whose process left and was replaced under the same address would stay unused: no entry sends to
// a leaving VM, so none would receive a message of its new process.
func (m *member) applyJoin(now clock.Millis, epoch uint64) (changed bool) {
	if epoch == 0 || epoch == m.epoch || slices.Contains(m.retired, epoch) {
		return false
	}
	return m.switchEpoch(now, epoch)
}

// applyLeaving applies a report that the VM's process leaves. A report with another epoch is about
// a previous process and is ignored.
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

// applyLoad stores a load if it is newer than the stored one. Answers may arrive out of order, so
// a late one with a lower sequence is dropped.
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

// newer reports whether l is newer than old, a load of the same epoch. A load without epoch and
// sequence counts as newer.
func newer(l, old *wire.Load) bool {
	if l.GetEpoch() == 0 && l.GetSequence() == 0 {
		return true
	}
	if l.GetGeneration() != old.GetGeneration() {
		return l.GetGeneration() > old.GetGeneration()
	}
	return l.GetSequence() > old.GetSequence()
}

// recordFailure records a failed call. It reports whether the snapshot changes.
func (m *member) recordFailure(now clock.Millis) (changed bool) {
	duration := minSuspicion << min(m.failures, 5)
	m.failures++
	m.suspectUntil = now + min(duration, maxSuspicion)
	changed = !m.suspected
	m.suspected = true
	return changed
}

// expire ends suspicion, leaving and the report of a leaving change once they have expired. It
// reports whether the snapshot changes.
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
