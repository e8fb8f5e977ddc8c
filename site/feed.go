package site

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Intervals of the feeds, each of which reads one stream of the store. Every call to the store is
// billed, so each stream is read as rarely as the deadline that depends on it allows.
const (
	// operatorWait is the long-poll timeout of the operators' stream. A result confirms the
	// configuration as of the time the read was sent, so a confirmation is at most twice this
	// old, less than a third of the 5 s for which a revoked key may still be used.
	operatorWait = 800 * clock.Millis(1)
	// endpointPause is the pause between two reads of the endpoints' stream, which changes all the
	// time. An endpoint that is leaving is noticed within this pause, less than half of the 2 s
	// after which it must get no new work.
	endpointPause = 800 * clock.Millis(1)
	// statusWait is the long-poll timeout of the status stream while an upgrade is in progress.
	statusWait = 3 * clock.Second
	// readSlack is how much longer than its long-poll timeout a read may take. A connection may
	// go silent for good, which only this limit detects.
	readSlack = 1200 * clock.Millis(1)
	// minOverdueSlack is how much later than its long-poll timeout a read of the operators' stream ends before
	// other entries read the stream in place of this one, without waiting for the read to fail: a change has
	// to be in force in 2 s. It is longer than a slow store takes.
	minOverdueSlack = 400 * clock.Millis(1)
	// latenessFactor multiplies how late reads were lately: a store may be slow for long.
	latenessFactor = 2
	// pollInterval is the interval at which a feed checks whether its stream has to be read.
	pollInterval = 50 * clock.Millis(1)
	// minReadInterval is the shortest time from one read of a stream to the next, whatever the store
	// answers.
	minReadInterval = 50 * clock.Millis(1)
	// retryDelay is the delay after the first failed read. It grows by the same amount with each
	// further failure, up to maxRetryDelay.
	retryDelay    = 150 * clock.Millis(1)
	maxRetryDelay = 600 * clock.Millis(1)
	// peerRetryDelay is the minimum delay after a failed read in two cases: the store fails all
	// entries and peers probe it, so that their next report, at most a second later, shows that the
	// store is back; or the store rejects this entry but serves its peers, which send all changes
	// to this entry.
	peerRetryDelay = 2 * clock.Second
	// operatorFailingDelay is the minimum delay after a failed read of another stream while reads
	// of the operators' stream fail too. Only the feed of the operators' stream then keeps probing
	// the store, on behalf of the whole process. The delay ends as soon as one of its reads
	// succeeds; it is limited in case only some streams fail.
	operatorFailingDelay = 4 * clock.Second
	// registerInterval is the interval between two reads of the registered entries. Entries that
	// start send reports, so these reads only find entries whose datagrams do not arrive.
	registerInterval = 45 * clock.Second
	// registerSpread is the time over which all entries write their addresses again after the store
	// came back from an older copy.
	registerSpread = 3 * clock.Second
)

// feed reads one stream of the store until its context ends.
type feed struct {
	loop   *Loop
	stream Stream
	// wait is the long-poll timeout of a read, pause the delay before the next read.
	wait  clock.Millis
	pause clock.Millis
	// handle posts the event for a result.
	handle func(ctx context.Context, res readResult)
	// next is the position to read from; its offset is negative until the first full read. expired is
	// true if the store does not have that position, so that only a full read can continue.
	next    Position
	expired bool
	// expiries counts the reads in a row that found no position to continue from.
	expiries int
	fails    int
	// catchUps counts the times in a row that the stream was taken from another entry.
	catchUps int
	// lateness is how much longer than its long-poll timeout the last reads took; it halves with each read.
	lateness clock.Millis
	// behindSince is since when the stream has to be read; 0 if it need not be.
	behindSince clock.Millis
}

// readResult is the result of one read of a stream.
type readResult struct {
	records []Record
	// history holds earlier records, if the newest one of the configuration may not be the newest valid
	// one.
	history []Record
	next    Position
	full    bool
	from    Position
	sentAt  clock.Millis
	now     clock.Millis
}

func (l *Loop) feeds() []*feed {
	return []*feed{
		{loop: l, stream: OperatorStream, wait: operatorWait, next: unread, handle: l.handleOperator},
		{loop: l, stream: EndpointStream, wait: operatorWait, pause: endpointPause, next: unread, handle: l.handleEndpoints},
		{loop: l, stream: StatusStream, wait: statusWait, next: unread, handle: l.handleStatus},
	}
}

func (l *Loop) handleOperator(ctx context.Context, res readResult) {
	if res.full && l.cfg.Store.History != nil && l.View().Config() == nil {
		go l.findNewerConfig(ctx, res.next.Offset)
	}
	update := l.cfg.Codec.Operator(res.records)
	if earlier := l.cfg.Codec.Operator(res.history); earlier.Config != nil && earlier.version() >= update.version() {
		update.Config, update.ConfigRecord = earlier.Config, earlier.ConfigRecord
	}
	var starts map[string]OrderStart
	if res.full && len(update.Orders) > 0 && !l.View().Started() {
		starts = l.readStarts(ctx)
		res.now = l.cfg.Clock.Now()
	}
	l.post(ctx, OperatorRead{Now: res.now, SentAt: res.sentAt, Full: res.full, Update: update, Records: res.records, From: res.from.Offset, Next: res.next, Starts: starts})
}

func (l *Loop) handleEndpoints(ctx context.Context, res readResult) {
	l.post(ctx, EndpointsRead{Now: res.now, SentAt: res.sentAt, Full: res.full, Changes: l.cfg.Codec.Endpoints(res.records, res.now), Records: res.records, Next: res.next})
}

func (l *Loop) handleStatus(ctx context.Context, res readResult) {
	l.post(ctx, VerdictsRead{Now: res.now, Verdicts: l.cfg.Codec.Verdicts(res.records), Full: res.full, Next: res.next})
}

func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		v := f.loop.View()
		if (f.next.Offset >= 0 || v.Started()) && !v.wants(f.stream, f.loop.cfg.Clock.Now()) {
			f.catchUps, f.behindSince = 0, 0
			clock.Pause(ctx, pollInterval)
			continue
		}
		if f.catchUp(ctx, v) {
			continue
		}
		f.setOffset(v)
		res, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !res.full && res.next.Era != res.from.Era {
			err = provider.ErrExpired.New("store came back from an older copy")
		}
		if err != nil {
			f.handleError(ctx, err)
			clock.Pause(ctx, minReadInterval-f.loop.cfg.Clock.Since(res.sentAt))
			continue
		}
		f.loop.answeredAt.Store(int64(res.now))
		if f.fails > 0 {
			f.loop.cfg.Log.Info("Store answers again", "stream", f.stream, "failures", f.fails)
		}
		f.fails, f.expired, f.catchUps, f.behindSince = 0, false, 0, 0
		if !res.full {
			f.expiries = 0
		}
		if f.stream == OperatorStream {
			f.loop.operatorFailing.Store(false)
		}
		if res.full {
			f.loop.cfg.Log.Info("Store was read in full", "stream", f.stream, "records", len(res.records), "end", res.next.Offset, "era", res.next.Era, "took", res.now-res.sentAt, "reader", v.reader, "started", v.Started(), "config-age", res.sentAt-v.confirmedAt, "fleet-age", res.sentAt-v.fleetConfirmedAt, "diverged", v.divergedAt > 0)
		}
		f.next = res.next
		f.handle(ctx, res)
		clock.Pause(ctx, max(f.pause, minReadInterval-f.loop.cfg.Clock.Since(res.sentAt)))
	}
}

const (
	// maxCatchUps is how often in a row an entry takes the state of another one before it reads the
	// store.
	maxCatchUps = 2
	// maxAgedPatience is how long at most an entry waits for a confirmation that is due before it
	// asks for one. When the store keeps silent for a while, the confirmations of all entries become
	// too old at the same moment, and a moment later the readers have a new one.
	maxAgedPatience = 900 * clock.Millis(1)
	// catchUpTimeout bounds asking others for their state. Together with maxConfirmationAge and
	// maxAgedPatience it leaves time to read the store before the lease of keys ends.
	catchUpTimeout = 500 * clock.Millis(1)
	// changePatience is how long an entry that misses a change asks others for it before it reads the
	// store. When a reader reads a stream anew, all entries miss it at the same moment, and the
	// delegates refer most of them to those that have it.
	changePatience   = 500 * clock.Millis(1)
	changeRetryDelay = 100 * clock.Millis(1)
)

// catchUp waits for or takes the state of a reader, or of an entry that has it from a reader,
// instead of reading the store. It returns false if the store has to be read.
func (f *feed) catchUp(ctx context.Context, v *View) bool {
	l := f.loop
	if l.cfg.TakeState == nil || f.stream == StatusStream || !v.Started() || v.reader && !v.missesVersion(l.cfg.Clock.Now()) || len(v.donors()) == 0 || f.catchUps >= maxCatchUps {
		return false
	}
	now := l.cfg.Clock.Now()
	if f.behindSince == 0 {
		f.behindSince = now
	}
	if !v.missesChange(f.stream, now) && now-f.behindSince < l.agedPatience {
		clock.Pause(ctx, pollInterval)
		return true
	}
	if now-f.behindSince >= l.agedPatience+catchUpTimeout {
		return false
	}
	if !l.catchUpMu.TryLock() {
		// The state that the other feed is taking may do for this one too.
		return clock.Pause(ctx, pollInterval)
	}
	defer l.catchUpMu.Unlock()
	if !l.View().wants(f.stream, l.cfg.Clock.Now()) {
		return clock.Pause(ctx, pollInterval)
	}
	asking, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	err := l.cfg.TakeState(asking, v.donors(), false)
	if err != nil && v.missesChange(f.stream, now) && l.cfg.Clock.Since(f.behindSince) < changePatience {
		return clock.Pause(ctx, changeRetryDelay)
	}
	f.catchUps++
	if err != nil {
		l.cfg.Log.Info("Stream is read from the store", "stream", f.stream, "behind", l.cfg.Clock.Since(f.behindSince), "reason", logbook.Text(err))
		return false
	}
	f.expired = false
	clock.Pause(ctx, pollInterval)
	return true
}

// setOffset sets the offset of the next read. Records that other entries have sent are not read
// again. An entry that reads the endpoints' stream only occasionally reads it in full, since the
// stream changes all the time.
func (f *feed) setOffset(v *View) {
	switch {
	case f.stream == OperatorStream:
		f.next = later(f.next, v.operator)
	case f.stream == StatusStream:
		f.next = later(f.next, v.statusEnd)
	case !v.reader, v.listDue:
		f.next = unread
	}
	if f.expired || f.loop.storeEra() > f.next.Era {
		f.next = unread
	}
}

// read reads the stream once. If it fails, only sentAt is set in the result.
func (f *feed) read(ctx context.Context) (res readResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, (f.wait + readSlack).Duration())
	defer cancel()
	sentAt, from := f.loop.cfg.Clock.Now(), f.next
	wait := f.waitFor(sentAt)
	if f.stream == OperatorStream {
		overdue := time.AfterFunc((wait + f.slack(minOverdueSlack)).Duration(), func() { f.overdue(ctx, cancel, sentAt) })
		defer overdue.Stop()
	}
	patience := noPatience
	if f.fails == 0 {
		patience = wait + f.slack(minRenewSlack)
	}
	res, err = f.loop.readAgainIfLate(ctx, patience, func(ctx context.Context, again bool) (readResult, error) {
		if again {
			// There is an answer already, unless the store is silent.
			return f.call(ctx, from, 0)
		}
		return f.call(ctx, from, wait)
	})
	if err != nil {
		res = readResult{sentAt: sentAt}
	}
	f.lateness = max(f.loop.cfg.Clock.Now()-res.sentAt-wait, f.lateness/2)
	return res, err
}

// waitFor returns the long-poll timeout of a read that is sent now.
func (f *feed) waitFor(now clock.Millis) clock.Millis {
	if f.next.Offset < 0 {
		return 0
	}
	if left := f.loop.View().settledAt - now; left > 0 {
		return min(f.wait, left, settlingWait)
	}
	return f.wait
}

// slack returns how much longer than its long-poll timeout a read may take, at least the given time.
func (f *feed) slack(least clock.Millis) clock.Millis {
	return min(max(latenessFactor*f.lateness, least), readSlack)
}

// overdue tells that a read is overdue, and gives it up if another entry has what it would return.
func (f *feed) overdue(ctx context.Context, giveUp func(), sentAt clock.Millis) {
	now := f.loop.cfg.Clock.Now()
	f.loop.post(ctx, OperatorReadOverdue{Now: now, SentAt: sentAt})
	if f.loop.View().missesChange(f.stream, now) {
		giveUp()
	}
}

// call makes the calls to the store for one read from a position on.
func (f *feed) call(ctx context.Context, from Position, wait clock.Millis) (res readResult, err error) {
	if from.Offset >= 0 {
		return f.loop.readFrom(ctx, f.stream, from, wait)
	}
	res = readResult{sentAt: f.loop.cfg.Clock.Now(), from: from, full: true}
	res.records, res.next, err = f.loop.cfg.Store.Newest(ctx, f.stream)
	if err == nil && f.stream == OperatorStream {
		res.history, err = f.history(ctx, res)
	}
	res.now = f.loop.cfg.Clock.Now()
	return res, err
}

// readFrom reads the records of a stream from a position on.
func (l *Loop) readFrom(ctx context.Context, s Stream, from Position, wait clock.Millis) (res readResult, err error) {
	res = readResult{sentAt: l.cfg.Clock.Now(), from: from}
	res.records, res.next, err = l.cfg.Store.Read(ctx, s, from.Offset, wait)
	res.now = l.cfg.Clock.Now()
	return res, err
}

const (
	// firstHistory is the number of records before the end of the operators' stream that an entry reads to find a
	// valid configuration. It grows by historyFactor up to maxHistory: a record may be large.
	firstHistory  = 2
	historyFactor = 4
	maxHistory    = 128
)

// history returns earlier records of the operators' stream after a full read. An entry without a configuration needs
// them if the newest record cannot be used. One that has a configuration has missed some, and the newest record may be
// older than one of these.
func (f *feed) history(ctx context.Context, res readResult) (records []Record, err error) {
	l, v := f.loop, f.loop.View()
	known := v.Config() != nil
	missed := res.next.Offset
	if v.operator.Era == res.next.Era {
		missed -= max(v.operator.Offset, 0)
	}
	if l.cfg.Store.History == nil || missed <= 0 || !known && l.cfg.Codec.Operator(res.records).Config != nil {
		return nil, nil
	}
	n := int64(firstHistory)
	if known {
		n *= historyFactor
	}
	for ; n <= maxHistory; n *= historyFactor {
		if records, err = l.cfg.Store.History(ctx, f.stream, res.next.Offset, n); err != nil {
			return nil, err
		}
		u := l.cfg.Codec.Operator(records)
		if int64(len(records)) < n || n >= missed || u.Config != nil && (!known || len(u.Invalid) == 0) {
			break
		}
	}
	return records, nil
}

// findNewerConfig reads earlier records of the operators' stream after a first full read: the newest record of the
// configuration may be an older version than another one that entries had in force before they all stopped.
func (l *Loop) findNewerConfig(ctx context.Context, end int64) {
	ctx, cancel := context.WithTimeout(ctx, (operatorWait + readSlack).Duration())
	defer cancel()
	for n := int64(firstHistory * historyFactor); n <= maxHistory; n *= historyFactor {
		records, err := l.cfg.Store.History(ctx, OperatorStream, end, n)
		l.renewAfter(err)
		if err != nil {
			l.cfg.Log.Warn("Earlier records cannot be read", "stream", OperatorStream, "error", logbook.Text(err))
			return
		}
		u := l.cfg.Codec.Operator(records)
		if u.Config != nil {
			l.post(ctx, ConfigFound{Now: l.cfg.Clock.Now(), Update: OperatorUpdate{Config: u.Config, ConfigRecord: u.ConfigRecord}})
		}
		// Where invalid or older records are, a newer valid one may be before them.
		if len(u.Invalid) == 0 || int64(len(records)) < n {
			return
		}
	}
}

func (f *feed) handleError(ctx context.Context, err error) {
	if errorx.IsOfType(err, provider.ErrExpired) {
		f.loop.cfg.Log.Info("Store forgot records; the stream is read anew", "stream", f.stream, "from", f.next.Offset, "era", f.next.Era, "store-era", f.loop.storeEra())
		f.expired = true
		f.expiries++
		if f.expiries > 1 {
			clock.Pause(ctx, min(retryDelay*clock.Millis(f.expiries-1), maxRetryDelay))
		}
		return
	}
	f.fails++
	f.catchUps, f.behindSince = 0, 0
	f.loop.post(ctx, StoreFailed{Now: f.loop.cfg.Clock.Now()})
	if f.fails == 1 {
		f.loop.cfg.Log.Warn("Store does not answer", "stream", f.stream, "error", logbook.Text(err))
	}
	if f.stream == OperatorStream {
		f.loop.operatorFailing.Store(true)
	}
	f.loop.waitAfterFailure(ctx, f.stream, min(retryDelay*clock.Millis(f.fails), maxRetryDelay))
}

// storeEra returns the era of the store, or 0 if it is not known.
func (l *Loop) storeEra() int64 {
	if l.cfg.Store.Era == nil {
		return 0
	}
	return l.cfg.Store.Era()
}

// waitAfterFailure waits after a failed call on a stream: for at least the given duration, and
// longer while another feed or another entry probes the store.
func (l *Loop) waitAfterFailure(ctx context.Context, s Stream, delay clock.Millis) {
	start := l.cfg.Clock.Now()
	for clock.Pause(ctx, min(delay, pollInterval)) {
		elapsed := l.cfg.Clock.Since(start)
		if elapsed >= delay && elapsed >= l.minFailureDelay(s) {
			return
		}
	}
}

// minFailureDelay returns the minimum delay after a failed call on a stream; 0 if nothing else
// probes the store.
func (l *Loop) minFailureDelay(s Stream) clock.Millis {
	switch {
	case s == OperatorStream && l.View().missesChange(s, l.cfg.Clock.Now()):
		return maxRetryDelay // others are asked for it again
	case s != OperatorStream && l.operatorFailing.Load():
		return operatorFailingDelay
	case l.View().probedByPeers, l.View().storeServesPeers:
		return peerRetryDelay
	}
	return 0
}

// register writes this entry's address to the store, unless it is there from an earlier start, and
// reads those of the others if no entry has listed them. The write comes first: of two entries that
// start at the same time, at least one then finds the other and sends it a report. written is true if
// the address has been written.
func (l *Loop) register(ctx context.Context, written bool) {
	// readAt is when the addresses were last known to be complete. era is the store's era, and
	// writeAgainAt when the address is written again because the store may have lost it.
	readAt, era, writeAgainAt := never, l.View().era, never
	for ctx.Err() == nil {
		v, now := l.View(), l.cfg.Clock.Now()
		if v.era != era {
			if era > 0 {
				writeAgainAt = now + clock.Millis(l.spread*float64(registerSpread))
			}
			era = v.era
		}
		if writeAgainAt != never && now >= writeAgainAt {
			writeAgainAt, written = never, false
		}
		if readAt == never && v.entriesKnown {
			readAt = now
		}
		write := !written && v.registeredAt != l.cfg.Address
		// Readers of the store read the addresses again and then send reports also to entries from
		// which no report has arrived.
		read := readAt == never || v.reader && now-readAt >= registerInterval
		if !write && !read {
			clock.Pause(ctx, pollInterval)
			continue
		}
		err := l.registerOnce(ctx, write, read)
		l.renewAfter(err)
		if err != nil {
			l.cfg.Log.Warn("Could not register this entry or read the others", "written", written, "error", logbook.Text(err))
			l.waitAfterFailure(ctx, EntryStream, clock.Second)
			continue
		}
		written = written || write
		if read {
			readAt = now
		}
	}
}

func (l *Loop) registerOnce(ctx context.Context, write, read bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, (operatorWait + readSlack).Duration())
	defer cancel()
	if write {
		if _, err = l.cfg.Store.Append(ctx, EntryStream, l.cfg.Self.Name, []byte(l.cfg.Address), -1); err != nil {
			return err
		}
	}
	if !read {
		return nil
	}
	records, _, err := l.cfg.Store.Newest(ctx, EntryStream)
	if err != nil {
		return err
	}
	l.cfg.Log.Info("Store was read in full", "stream", EntryStream, "records", len(records))
	l.postEntries(ctx, records)
	return nil
}

// postEntries posts the entries that are registered.
func (l *Loop) postEntries(ctx context.Context, records []Record) {
	addresses := map[string]string{l.cfg.Self.Name: l.cfg.Address}
	for _, r := range records {
		if len(r.Value) > 0 && r.Key != l.cfg.Self.Name {
			addresses[r.Key] = string(r.Value)
		}
	}
	l.post(ctx, EntriesRead{Now: l.cfg.Clock.Now(), Addresses: addresses})
}
