package membership

import (
	"slices"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// suspectFirst is how long the first failed call keeps a VM suspected; each
	// further failure doubles it up to suspectMost.
	suspectFirst = clock.Second
	suspectMost  = 30 * clock.Second
	// epochSilence is how long an epoch must be silent before a retired one is
	// believed again.
	epochSilence = 5 * clock.Second
	// maxRetired bounds the retired epochs kept of one VM; the oldest falls out.
	maxRetired = 4
	// wordTold is how long a changed word on leaving stands in digests.
	wordTold = 30 * clock.Second
	// leavingMost is when a word on leaving lapses, should the VM stay listed: a
	// process that took so long is gone, and the gate refuses if it is not.
	leavingMost = 10 * clock.Minute
)

// slot holds what traffic reads in place. It outlives pictures, so that a load
// report costs no new picture.
type slot struct {
	load atomic.Pointer[wire.Load]
}

// member is what is known of one VM.
type member struct {
	vm   provider.VM
	slot *slot
	// epoch is that of the process believed to run on the VM; 0 before its
	// first word.
	epoch uint64
	// retired holds epochs that another one followed, at most maxRetired.
	retired []uint64
	// heardAt is when the VM, under its present epoch, last gave word.
	heardAt clock.Millis
	// answered is true once the VM gave word at all.
	answered bool
	// leaving is the VM's own word, valid for its present epoch only.
	leaving bool
	// worded is true since wordAt, when the VM's word on leaving changed.
	worded bool
	wordAt clock.Millis
	// absent is true while the list lacks the VM, since absentAt.
	absent   bool
	absentAt clock.Millis
	// failures counts the failed calls since the last word.
	failures     int
	suspected    bool
	suspectUntil clock.Millis
	// usedAt is when an answer to a request of this process last came from the
	// VM.
	usedAt clock.Millis
	// used is true while the VM stands among those that may be polled.
	used bool
	// pollAt is when the VM is next asked for its load, should it be quiet.
	pollAt clock.Millis
}

// replace forgets what was known of the process that ran on the VM before.
func (m *member) replace() {
	m.slot.load.Store(nil)
	m.retire()
	m.leaving = false
	m.failures = 0
	m.suspected = false
	m.answered = false
}

func (m *member) retire() {
	if m.epoch == 0 {
		return
	}
	m.retired = append(m.retired, m.epoch)
	if len(m.retired) > maxRetired {
		m.retired = m.retired[1:]
	}
	m.epoch = 0
}

// current reports whether word under an epoch is that of the process now on the
// VM. Two processes may speak under one VM: an old one that was paused and came
// back beside its successor. Its word is late by the whole pause, so a retired
// epoch is believed only once the present one has fallen silent.
func (m *member) current(now clock.Millis, epoch uint64) bool {
	if epoch == 0 || epoch == m.epoch || m.epoch == 0 && !slices.Contains(m.retired, epoch) {
		return true
	}
	return !slices.Contains(m.retired, epoch) || now-m.heardAt >= epochSilence
}

// hear takes any word of the VM; it ends suspicion. It reports whether the
// picture changed.
func (m *member) hear(now clock.Millis, epoch uint64) (changed bool) {
	if !m.current(now, epoch) {
		return false
	}
	if epoch != 0 && epoch != m.epoch {
		changed = m.succeed(now, epoch)
	}
	m.heardAt = now
	m.answered = true
	m.failures = 0
	changed = changed || m.suspected
	m.suspected = false
	return changed
}

// succeed takes the process of another epoch for the one on the VM. It reports
// whether one was known before.
func (m *member) succeed(now clock.Millis, epoch uint64) (changed bool) {
	m.retire()
	changed = len(m.retired) > 0
	m.retired = slices.DeleteFunc(m.retired, func(e uint64) bool { return e == epoch })
	m.epoch = epoch
	m.leaving = false
	m.slot.load.Store(nil)
	if changed {
		m.word(now)
	}
	return changed
}

func (m *member) word(now clock.Millis) {
	m.worded = true
	m.wordAt = now
}

// join takes a relayed word that a process has begun on the VM. Without it, a
// VM that was left and came back under its old address would stay out of use:
// nobody sends to a leaving VM, so nobody would hear of its new process.
func (m *member) join(now clock.Millis, epoch uint64) (changed bool) {
	if epoch == 0 || epoch == m.epoch || slices.Contains(m.retired, epoch) {
		return false
	}
	return m.succeed(now, epoch)
}

// leave takes the VM's word that it leaves. Word under another epoch is of a
// process before the present one and says nothing about it.
func (m *member) leave(now clock.Millis, epoch uint64) (changed bool) {
	if m.leaving || epoch != 0 && m.epoch != 0 && epoch != m.epoch || slices.Contains(m.retired, epoch) {
		return false
	}
	if epoch != 0 {
		m.epoch = epoch
	}
	m.leaving = true
	m.word(now)
	return true
}

// takeLoad keeps the newer load. Answers cross on the way, so a late one with a
// lower sequence is dropped.
func (m *member) takeLoad(l *wire.Load) (taken bool) {
	if l.GetEpoch() != 0 && l.GetEpoch() != m.epoch {
		return false
	}
	if old := m.slot.load.Load(); old != nil && !newer(l, old) {
		return false
	}
	m.slot.load.Store(l)
	return true
}

// newer orders the loads of one epoch. Loads that carry no order at all are
// taken as they come.
func newer(l, old *wire.Load) bool {
	if l.GetEpoch() == 0 && l.GetSequence() == 0 {
		return true
	}
	if l.GetGeneration() != old.GetGeneration() {
		return l.GetGeneration() > old.GetGeneration()
	}
	return l.GetSequence() > old.GetSequence()
}

// fail takes a failed call. It reports whether the picture changed.
func (m *member) fail(now clock.Millis) (changed bool) {
	span := suspectFirst << min(m.failures, 5)
	m.failures++
	m.suspectUntil = now + min(span, suspectMost)
	changed = !m.suspected
	m.suspected = true
	return changed
}

// lapse ends what has run out. It reports whether the picture changed.
func (m *member) lapse(now clock.Millis) (changed bool) {
	if m.suspected && now >= m.suspectUntil {
		m.suspected = false
		changed = true
	}
	if m.leaving && now-m.wordAt >= leavingMost && !m.absent {
		m.leaving = false
		changed = true
	}
	if m.worded && now-m.wordAt >= wordTold {
		m.worded = false
		changed = true
	}
	return changed
}
