package site

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Spans of the feeds. Every call to the store is paid for, so each feed is read
// as seldom as the bound that rests on it allows.
const (
	// operatorWait is how long a read of the operators' stream waits. Its answer
	// confirms the configuration as of the moment it was sent, so the age of that
	// is at most twice the wait, less than a third of the 5 s for which a key that
	// was taken away may still be used.
	operatorWait = 800 * clock.Millis(1)
	// endpointPause lies between two reads of the endpoints' stream, on which
	// something is written all the time. An endpoint that leaves is known after
	// the pause, half of the 2 s in which it must get no new work any more.
	endpointPause = 800 * clock.Millis(1)
	// statusWait is how long a read of the status stream waits while an upgrade
	// is under way.
	statusWait = 3 * clock.Second
	// answerSlack is how much longer than its wait an answer may take. A
	// connection may fall silent for good, and only this bound shows it.
	answerSlack = 1200 * clock.Millis(1)
	// lookEvery is the span between two looks at whether a stream is to be read.
	lookEvery = 50 * clock.Millis(1)
	// retryPause and retryMost bound the pause after a failed read.
	retryPause = 150 * clock.Millis(1)
	retryMost  = 600 * clock.Millis(1)
	// othersPause is that pause where other entries try the store too, whose next
	// report, a second later at most, tells when it is back; or where it turns this
	// entry away and serves those from which it hears all changes.
	othersPause = 2 * clock.Second
	// leadPause is that pause while the operators' stream fails as well, whose feed
	// goes on trying for all of this process. It ends as soon as that one is read; in
	// case only some streams fail it ends by itself.
	leadPause = 4 * clock.Second
	// registerEvery is the span between two looks at the registered entries.
	// Entries that start make themselves heard, so this only finds those whose
	// datagrams do not arrive.
	registerEvery = 45 * clock.Second
)

// feed reads one stream of the store for good.
type feed struct {
	loop   *Loop
	stream Stream
	// wait is how long a read waits for a record, pause the span before the next.
	wait  clock.Millis
	pause clock.Millis
	// take hands an answer to control.
	take func(ctx context.Context, a answer)
	// next is the offset to read from; negative before the first whole answer.
	next  int64
	fails int
}

// answer is what one read of a stream brought.
type answer struct {
	records []Record
	next    int64
	whole   bool
	from    int64
	sentAt  clock.Millis
	now     clock.Millis
}

func (l *Loop) feeds() []*feed {
	return []*feed{
		{loop: l, stream: OperatorStream, wait: operatorWait, next: -1, take: l.takeOperator},
		{loop: l, stream: EndpointStream, wait: operatorWait, pause: endpointPause, next: -1, take: l.takeEndpoints},
		{loop: l, stream: StatusStream, wait: statusWait, next: -1, take: l.takeStatus},
	}
}

func (l *Loop) takeOperator(ctx context.Context, a answer) {
	news := OperatorUpdate{}
	if len(a.records) > 0 {
		news = l.cfg.Codec.Operator(a.records)
	}
	l.post(ctx, OperatorRead{Now: a.now, SentAt: a.sentAt, Full: a.whole, Update: news, Records: a.records, From: a.from, Next: a.next})
}

func (l *Loop) takeEndpoints(ctx context.Context, a answer) {
	l.post(ctx, EndpointsRead{Now: a.now, SentAt: a.sentAt, Full: a.whole, Changes: l.cfg.Codec.Endpoints(a.records, a.now), Records: a.records})
}

func (l *Loop) takeStatus(ctx context.Context, a answer) {
	l.post(ctx, VerdictsRead{Now: a.now, Verdicts: l.cfg.Codec.Verdicts(a.records), Next: a.next})
}

func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		v := f.loop.View()
		if f.next >= 0 && !v.wants(f.stream, f.loop.cfg.Clock.Now()) {
			clock.Pause(ctx, lookEvery)
			continue
		}
		f.place(v)
		a, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		if f.fails > 0 {
			f.loop.cfg.Log.Info("Store answers again", "stream", f.stream, "failures", f.fails)
		}
		f.fails = 0
		if f.stream == OperatorStream {
			f.loop.operatorFails.Store(false)
		}
		f.next = a.next
		f.take(ctx, a)
		clock.Pause(ctx, f.pause)
	}
}

// place sets the offset to go on from. What other entries told is not read again;
// the endpoints, on whose stream there is always something new, are read whole
// by an entry that reads them only now and then.
func (f *feed) place(v *View) {
	switch {
	case f.next < 0:
	case f.stream == OperatorStream:
		f.next = max(f.next, v.operatorNext)
	case f.stream == EndpointStream && !v.reader:
		f.next = -1
	}
}

func (f *feed) read(ctx context.Context) (a answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, (f.wait + answerSlack).Duration())
	defer cancel()
	a.sentAt, a.from = f.loop.cfg.Clock.Now(), f.next
	if f.next < 0 {
		a.whole = true
		a.records, a.next, err = f.loop.cfg.Store.Newest(ctx, f.stream)
	} else {
		a.records, a.next, err = f.loop.cfg.Store.Read(ctx, f.stream, f.next, f.wait)
	}
	a.now = f.loop.cfg.Clock.Now()
	return a, err
}

func (f *feed) failed(ctx context.Context, err error) {
	if errorx.IsOfType(err, provider.ErrExpired) {
		f.loop.cfg.Log.Info("Store forgot records; the stream is read anew", "stream", f.stream, "from", f.next)
		f.next = -1
		return
	}
	f.fails++
	f.loop.post(ctx, StoreFailed{Now: f.loop.cfg.Clock.Now()})
	if f.fails == 1 {
		f.loop.cfg.Log.Warn("Store does not answer", "stream", f.stream, "error", logbook.Text(err))
	}
	if f.stream == OperatorStream {
		f.loop.operatorFails.Store(true)
	}
	f.loop.rest(ctx, f.stream, min(retryPause*clock.Millis(f.fails), retryMost))
}

// rest pauses after a call on a stream that failed: for a span, and for longer while
// others find out when the store is back.
func (l *Loop) rest(ctx context.Context, s Stream, span clock.Millis) {
	begun := l.cfg.Clock.Now()
	for clock.Pause(ctx, min(span, lookEvery)) {
		passed := l.cfg.Clock.Since(begun)
		if passed >= span && passed >= l.storeRest(s) {
			return
		}
	}
}

// storeRest is the least pause after a call on a stream that failed; 0 while nobody
// else tries.
func (l *Loop) storeRest(s Stream) clock.Millis {
	switch {
	case s != OperatorStream && l.operatorFails.Load():
		return leadPause
	case l.View().leftToOthers, l.View().served:
		return othersPause
	}
	return 0
}

// register writes this entry's address to the store and reads those of the
// others. It writes before it reads: of two entries that start at the same time
// at least one then finds the other, and makes itself heard by it.
func (l *Loop) register(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		err := l.registerOnce(ctx, &written)
		if err == nil || ctx.Err() != nil {
			l.waitToRegister(ctx)
			continue
		}
		l.cfg.Log.Warn("Entries could not be read", "written", written, "error", logbook.Text(err))
		l.rest(ctx, EntryStream, clock.Second)
	}
}

// waitToRegister waits until the registered entries are to be looked at again. Those that
// read the store for all do so, and make themselves heard by entries that nobody heard.
func (l *Loop) waitToRegister(ctx context.Context) {
	for clock.Pause(ctx, registerEvery) {
		if l.View().reader {
			return
		}
	}
}

func (l *Loop) registerOnce(ctx context.Context, written *bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, (operatorWait + answerSlack).Duration())
	defer cancel()
	if !*written {
		if err = l.cfg.Store.Append(ctx, EntryStream, l.cfg.Self.Name, []byte(l.cfg.Address), -1); err != nil {
			return err
		}
		*written = true
	}
	records, _, err := l.cfg.Store.Newest(ctx, EntryStream)
	if err != nil {
		return err
	}
	addresses := map[string]string{l.cfg.Self.Name: l.cfg.Address}
	for _, r := range records {
		if len(r.Value) > 0 && r.Key != l.cfg.Self.Name {
			addresses[r.Key] = string(r.Value)
		}
	}
	l.post(ctx, EntriesRead{Now: l.cfg.Clock.Now(), Addresses: addresses})
	return nil
}
