package site

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// eventQueueSize limits the events that wait for the control goroutine.
	eventQueueSize = 1024
	// tickInterval is a third of countInterval. Reports are sent on ticks, so each is late by at
	// most this much.
	tickInterval = 100 * clock.Millis(1)
	// appendTimeout limits an append. The slowest useful responses of the store take a quarter of
	// a second.
	appendTimeout = 1500 * clock.Millis(1)
)

// Config holds the dependencies of a loop.
type Config struct {
	Self  Self
	Clock clock.Clock
	Log   *log.Logger
	Store Store
	Codec Codec
	// Address is the address on which this entry receives reports.
	Address string
	// Send sends a report to the addresses of other entries. It must not block for long.
	Send func(r *wire.EntryReport, to []string) error
	// TakeState asks other entries for their state of the site until one has given it and
	// ApplyState has accepted it. It begins with the given entries. An entry that starts asks more
	// patiently than one that has fallen behind. Nil if no other entry can be asked.
	TakeState func(ctx context.Context, from []EntryAddress, starts bool) error
	// Seeds are entries that this one asks when it starts. If there are none, it takes some from the
	// store.
	Seeds []EntryAddress
	// TakeEntries asks an entry which entries are running.
	TakeEntries func(ctx context.Context, from EntryAddress) (*wire.SiteState, error)
	// TimeOfDay returns the time of day of the VM in ms since the Unix epoch, which may be off by seconds and jump. Nil
	// stands for the system's.
	TimeOfDay func() int64
	// Counts returns what this process has counted in its traffic since it started.
	Counts func() TrafficCounts
}

// Loop runs the reducer on one goroutine and publishes views to traffic.
type Loop struct {
	cfg    Config
	state  *State
	events chan Event
	view   atomic.Pointer[View]
	// stateRequests holds requests for this entry's state, which only the loop's goroutine reads.
	stateRequests chan chan builtState
	lastBuilt     builtState
	// catchUpMu is held while the state of another entry is taken. agedPatience is this process's
	// part of maxAgedPatience.
	catchUpMu    sync.Mutex
	agedPatience clock.Millis
	// confirming is the read that requests wait for; nil if there is none. confirmFailedAt is when the last
	// one failed, confirmReadAt when the last one was sent; only the one in progress uses it.
	confirmMu       sync.Mutex
	confirming      *confirmation
	confirmFailedAt clock.Millis
	confirmReadAt   clock.Millis
	// answeredAt is when the store last answered a read of this entry, in ms on its clock.
	answeredAt atomic.Int64
	// spread is a fraction by which entries spread what all of them do.
	spread float64
	// started is closed once all streams were read.
	started chan struct{}
	// dropped counts reports that found the queue full or could not be unpacked.
	dropped atomic.Int64
	// operatorFailing is true from a failed read of the operators' stream to the next successful
	// one.
	operatorFailing atomic.Bool
	metrics         *metrics.Set
}

// NewLoop returns a loop with an empty state. Run starts it.
func NewLoop(cfg Config) *Loop {
	if cfg.TimeOfDay == nil {
		cfg.TimeOfDay = func() int64 { return time.Now().UnixMilli() }
	}
	l := &Loop{cfg: cfg, state: NewState(cfg.Self, cfg.Clock.Now()), events: make(chan Event, eventQueueSize), stateRequests: make(chan chan builtState), confirmFailedAt: never, confirmReadAt: never, started: make(chan struct{}), metrics: metrics.NewSet()}
	const fractions = 1 << 16
	l.spread = float64(xxhash.Sum64String(cfg.Self.Process)%fractions) / fractions
	l.agedPatience = clock.Millis(l.spread * float64(maxAgedPatience))
	l.view.Store(l.state.View())
	return l
}

// View returns the newest view. It never blocks and may be called from any goroutine.
func (l *Loop) View() *View { return l.view.Load() }

// Started returns a channel that is closed once the configuration, the endpoints and the status
// stream were read.
func (l *Loop) Started() <-chan struct{} { return l.started }

// Dropped returns the number of reports that were dropped because the queue was full or because
// their records could not be unpacked.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Leave reports to the other entries that this one is stopping.
func (l *Loop) Leave(ctx context.Context) { l.post(ctx, Leave{}) }

// Stop reports to the other entries what this one has counted last, and returns when that was sent.
func (l *Loop) Stop(ctx context.Context) {
	if l.View().hasActiveUpgrade() {
		c := l.cfg.Counts()
		c.Now = l.cfg.Clock.Now()
		l.post(ctx, c)
	}
	l.post(ctx, Stop{Now: l.cfg.Clock.Now()})
	_ = l.sync(ctx)
}

// Receive queues a report from another entry. It drops and counts the report if its records cannot
// be unpacked or the queue is full, since the next report repeats the content.
func (l *Loop) Receive(r *wire.EntryReport) {
	if err := unpack(r); err != nil {
		l.dropped.Add(1)
		return
	}
	e := ReportReceived{Now: l.cfg.Clock.Now(), Report: r}
	if len(r.GetRecords()) > 0 {
		e.Update = l.cfg.Codec.Operator(recordsOn(r, OperatorStream))
		e.Changes = l.cfg.Codec.Endpoints(recordsOn(r, EndpointStream), e.Now)
	}
	select {
	case l.events <- e:
	default:
		l.dropped.Add(1)
	}
}

// Run processes events and reads the store until the context ends.
func (l *Loop) Run(ctx context.Context) {
	go l.start(ctx)
	go l.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(ctx, e)
		case reply := <-l.stateRequests:
			reply <- l.builtState()
		}
	}
}

// start takes the state of another entry, if one has it, and then reads the store as far as that is
// necessary.
func (l *Loop) start(ctx context.Context) {
	written := false
	if l.cfg.TakeState != nil {
		seeds := l.cfg.Seeds
		if len(seeds) == 0 {
			seeds, written = l.seedsFromStore(ctx)
		}
		err := l.cfg.TakeState(ctx, seeds, true)
		if err == nil {
			select {
			case <-l.started:
			case <-ctx.Done():
			}
		}
		if err != nil && ctx.Err() == nil {
			l.cfg.Log.Info("State of the site is read from the store", "after", l.cfg.Clock.Now()-l.state.startedAt, "reason", logbook.Text(err))
			go l.retryStart(ctx, seeds)
		}
	}
	for _, f := range l.feeds() {
		go f.run(ctx)
	}
	go l.completeEntries(ctx)
	go l.requestHandover(ctx)
	l.register(ctx, written)
}

const (
	// seedCount is the number of entries that others ask first when they start.
	seedCount = 3
	// maxCompleteSample is the number of records from which a sample may lack some.
	maxCompleteSample = 100
)

// seedsFromStore returns the same few registered entries at every entry that starts. If none is
// registered yet, as at the first start of a site, it registers this entry; written then is true.
func (l *Loop) seedsFromStore(ctx context.Context) (seeds []EntryAddress, written bool) {
	ctx, cancel := context.WithTimeout(ctx, (operatorWait + readSlack).Duration())
	defer cancel()
	var records []Record
	err := l.readUntilAnswered(ctx, func(ctx context.Context) (err error) {
		records, err = l.cfg.Store.Sample(ctx, EntryStream)
		return err
	})
	if err == nil && len(records) == 0 {
		_, appendErr := l.cfg.Store.Append(ctx, EntryStream, l.cfg.Self.Name, []byte(l.cfg.Address), -1)
		written = appendErr == nil
		if records, err = l.cfg.Store.Sample(ctx, EntryStream); err == nil && written && len(records) < maxCompleteSample {
			// The entry knows with how many others it shares limits before its first request comes.
			l.postEntries(ctx, records)
		}
	}
	if err != nil {
		l.cfg.Log.Warn("Registered entries could not be read", "error", logbook.Text(err))
	}
	return seedsOf(records), written
}

// startReadTimeout is how long a read for which a start waits may take before it is made again. A slow store answers
// within half of it.
const startReadTimeout = 400 * clock.Millis(1)

// readUntilAnswered reads from the store until it answers or the context ends. A call that was sent while the store was
// silent has no answer.
func (l *Loop) readUntilAnswered(ctx context.Context, read func(ctx context.Context) error) (err error) {
	for {
		call, cancel := context.WithTimeout(ctx, startReadTimeout.Duration())
		err = read(call)
		cancel()
		if isAnswered(err) {
			return err
		}
		l.renewConnections()
		if !clock.Pause(ctx, minReadInterval) {
			return err
		}
	}
}

// seedsOf selects the seeds among registered entries, far apart in the order of names: names that
// are close to each other often are of one zone.
func seedsOf(records []Record) (seeds []EntryAddress) {
	records = slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return len(r.Value) == 0 })
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	n := min(seedCount, len(records))
	for i := range n {
		r := records[i*len(records)/n]
		seeds = append(seeds, EntryAddress{Name: r.Key, Address: string(r.Value)})
	}
	return seeds
}

// startRetryInterval is the interval at which an entry that has no state asks others again while the
// store fails it.
const startRetryInterval = 300 * clock.Millis(1)

// retryStart asks other entries for their state until this one has started. An entry that was cut
// off from the store, that asked before the others had the state, or that finds no valid configuration in
// the store would otherwise wait for the store.
func (l *Loop) retryStart(ctx context.Context, seeds []EntryAddress) {
	for clock.Pause(ctx, startRetryInterval) && !l.View().Started() {
		from := append(slices.Clone(seeds), l.View().otherEntries()...)
		if len(from) > 0 && (l.operatorFailing.Load() || l.View().lacksConfig) {
			// Why the first attempt failed is in the log; the last one shows in the state being there.
			_ = l.cfg.TakeState(ctx, from, true)
		}
	}
}

const (
	// entriesInterval is the minimum time between two queries for the entries that are running.
	entriesInterval = 1500 * clock.Millis(1)
	// entriesCheckInterval is the interval at which an entry checks whether another one knows more.
	entriesCheckInterval = 100 * clock.Millis(1)
	// maxHandovers is how many entries one that started from the store asks for a handover: some may have just started too.
	maxHandovers = 3
)

// completeEntries asks an entry that knows more of the running entries for their list. An entry that
// starts together with others gets a list that lacks some.
func (l *Loop) completeEntries(ctx context.Context) {
	for pause := entriesCheckInterval; clock.Pause(ctx, pause); {
		v := l.View()
		if pause = entriesCheckInterval; v.fullerList.Address == "" || l.cfg.TakeEntries == nil {
			continue
		}
		pause = entriesInterval
		c, err := l.takeEntries(ctx, v.fullerList)
		if err != nil {
			l.cfg.Log.Warn("List of entries was not taken", "from", v.fullerList.Name, "error", logbook.Text(err))
		}
		l.post(ctx, EntriesListed{Now: l.cfg.Clock.Now(), Entries: EntriesFromWire(c.GetEntries())})
	}
}

// requestHandover asks up to maxHandovers other entries for a handover if this one has started without it, and ends.
func (l *Loop) requestHandover(ctx context.Context) {
	for asked := 0; asked < maxHandovers && l.cfg.TakeEntries != nil && clock.Pause(ctx, entriesCheckInterval); {
		v := l.View()
		from := v.anyOther(l.spread, asked)
		switch {
		case v.Started() && !v.lacksHandover:
			return
		case !v.Started(), from.Address == "":
			continue
		}
		asked++
		c, err := l.takeEntries(ctx, from)
		if err != nil {
			l.cfg.Log.Warn("Handover was not taken", "from", from.Name, "error", logbook.Text(err))
			continue
		}
		// The answer is at most builtStateTTL old.
		now := l.cfg.Clock.Now()
		l.post(ctx, HandoverReceived{Now: now, Handover: handoverFromWire(c, now)})
	}
}

func (l *Loop) takeEntries(ctx context.Context, from EntryAddress) (c *wire.SiteContent, err error) {
	m, err := l.cfg.TakeEntries(ctx, from)
	if err != nil {
		return nil, err
	}
	return unpackContent(m.GetPacked())
}

// builtState is this entry's state for others. The times are on this process's clock.
type builtState struct {
	packed []byte
	// entries is a content with nothing but the entries and the handover.
	entries          []byte
	builtAt          clock.Millis
	confirmedAt      clock.Millis
	fleetConfirmedAt clock.Millis
	// settledAt is when the store has settled after it came back from an older copy.
	settledAt clock.Millis
	err       error
}

// builtStateTTL is how long a state is sent to entries that ask for it before it is built again:
// many may ask at once.
const builtStateTTL = 200 * clock.Millis(1)

// builtState is called on the loop's goroutine only.
func (l *Loop) builtState() builtState {
	now := l.cfg.Clock.Now()
	if l.lastBuilt.packed != nil && now-l.lastBuilt.builtAt < builtStateTTL {
		return l.lastBuilt
	}
	c := l.state.content()
	for _, v := range l.state.verdicts {
		key, value := l.cfg.Codec.VerdictRecord(v)
		c.Records = append(c.Records, &wire.StoreRecord{Stream: int32(StatusStream), Key: key, Value: value})
	}
	b := builtState{builtAt: now, confirmedAt: l.state.confirmedAt, fleetConfirmedAt: l.state.fleetConfirmedAt, settledAt: l.state.settling.until}
	if b.packed, b.err = packContent(c); b.err == nil {
		b.entries, b.err = packContent(&wire.SiteContent{Entries: c.GetEntries(), Sessions: c.GetSessions(), ColdZones: c.GetColdZones()})
	}
	l.lastBuilt = b
	return b
}

// Entries returns the entries that this one knows to be running.
func (l *Loop) Entries(ctx context.Context) (m *wire.SiteState, err error) {
	b, err := l.requestState(ctx)
	return &wire.SiteState{Packed: b.entries}, err
}

// State returns this entry's state of the site for another entry.
func (l *Loop) State(ctx context.Context) (m *wire.SiteState, err error) {
	b, err := l.requestState(ctx)
	if err != nil {
		return nil, err
	}
	now := l.cfg.Clock.Now()
	if oldest := min(b.confirmedAt, b.fleetConfirmedAt); now-oldest > stateAgeLimit(now < b.settledAt) {
		return nil, ErrStale.New("state was confirmed %s ago", now-oldest)
	}
	return &wire.SiteState{
		Packed: b.packed, ConfirmedAgeMillis: int64(now - b.confirmedAt), FleetAgeMillis: int64(now - b.fleetConfirmedAt), BuiltAgeMillis: int64(now - b.builtAt), SettlingMillis: int64(max(b.settledAt-now, 0)),
	}, nil
}

func (l *Loop) requestState(ctx context.Context) (b builtState, err error) {
	reply := make(chan builtState, 1)
	select {
	case l.stateRequests <- reply:
		b = <-reply
		return b, b.err
	case <-ctx.Done():
		return b, ctx.Err()
	}
}

// ApplyState applies another entry's state that was asked for at sentAt. The error says why it
// cannot be used.
func (l *Loop) ApplyState(ctx context.Context, m *wire.SiteState, sentAt clock.Millis) (err error) {
	e, err := decodeState(l.cfg.Codec, m, sentAt, l.cfg.Clock.Now())
	if err != nil {
		return err
	}
	l.post(ctx, e)
	return nil
}

func (l *Loop) post(ctx context.Context, e Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

func (l *Loop) step(ctx context.Context, e Event) {
	if b, ok := e.(barrier); ok {
		close(b.applied)
		return
	}
	effects := Reduce(l.state, e)
	publish := false
	for _, f := range effects {
		if _, ok := f.(Publish); ok {
			publish = true
		}
	}
	if publish {
		l.publish()
	}
	for _, f := range effects {
		l.perform(ctx, f)
	}
}

// publish publishes a new view to traffic.
func (l *Loop) publish() {
	before := l.View().Started()
	v := l.state.View()
	l.view.Store(v)
	if !before && v.Started() {
		close(l.started)
		l.cfg.Log.Info("Site is known", "after", l.state.now-l.state.startedAt, "config", v.Config().Version(), "endpoints", v.Fleet().Size())
	}
}

func (l *Loop) perform(ctx context.Context, f Effect) {
	switch f := f.(type) {
	case LogLine:
		if f.Warn {
			l.cfg.Log.Warn(f.Message, f.Fields...)
			return
		}
		l.cfg.Log.Info(f.Message, f.Fields...)
	case SendReport:
		l.send(f)
	case Write:
		go l.write(ctx, f)
	case Count:
		l.metrics.GetOrCreateCounter(f.Name).Inc()
	}
}

// send sends a report with its records packed.
func (l *Loop) send(f SendReport) {
	f.Report.Address = l.cfg.Address
	to := []string{f.To}
	if f.To == "" {
		to = l.peerAddresses()
	}
	reports, err := pack(f.Report, len(to))
	for _, r := range reports {
		if err == nil {
			err = l.cfg.Send(r, to)
		}
	}
	if err != nil {
		l.cfg.Log.Warn("Report to other entries was not sent", "error", logbook.Text(err))
	}
}

// peerAddresses returns the addresses of the other entries.
func (l *Loop) peerAddresses() (to []string) {
	for name, address := range l.View().addresses {
		if name != l.cfg.Self.Name {
			to = append(to, address)
		}
	}
	return to
}

func (l *Loop) write(ctx context.Context, w Write) {
	call, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	if w.Start != nil {
		l.writeStart(call, w.Verdict.Service, *w.Start)
	}
	key, value := l.cfg.Codec.VerdictRecord(w.Verdict)
	era, err := l.cfg.Store.Append(call, StatusStream, key, value, w.At.Offset)
	l.renewAfter(err)
	l.post(ctx, WriteDone{Now: l.cfg.Clock.Now(), Verdict: w.Verdict, At: w.At, Era: era, Err: err})
}

// minStandstill is how much later than it is due a tick of a process that stood still is. On a slow VM ticks are less late.
const minStandstill = clock.Second

func (l *Loop) tick(ctx context.Context) {
	for due := l.cfg.Clock.Now() + tickInterval; clock.Pause(ctx, tickInterval); due = l.cfg.Clock.Now() + tickInterval {
		if now := l.cfg.Clock.Now(); now-due >= minStandstill {
			l.post(ctx, StoodStill{Now: now, For: now - due})
		}
		if l.View().hasActiveUpgrade() {
			c := l.cfg.Counts()
			c.Now = l.cfg.Clock.Now()
			l.post(ctx, c)
		}
		l.post(ctx, Tick{Now: l.cfg.Clock.Now()})
	}
}
