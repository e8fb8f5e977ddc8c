package site

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// queueLength bounds the events that wait for the control goroutine.
	queueLength = 1024
	// tickEvery is the span between two ticks: a third of countPace, so that a
	// report is at most that much late.
	tickEvery = 100 * clock.Millis(1)
	// appendTimeout bounds an append. The store's slowest answers that are of use
	// take a quarter of a second.
	appendTimeout = 1500 * clock.Millis(1)
)

// Config is what a loop works with.
type Config struct {
	Self  Self
	Clock clock.Clock
	Log   *log.Logger
	Store Store
	Codec Codec
	// Address is where this entry receives reports.
	Address string
	// Send sends a report to the addresses of other entries; it must not block
	// for long.
	Send func(r *wire.EntryReport, to []string) error
	// Counts returns what traffic has counted since the start.
	Counts func() TrafficCounts
}

// Loop runs the reducer on one goroutine and publishes views to traffic.
type Loop struct {
	cfg    Config
	state  *State
	events chan Event
	view   atomic.Pointer[View]
	// started is closed once the process knows its site.
	started chan struct{}
	// lost counts reports that found the queue full.
	lost atomic.Int64
	// operatorFails is true from a read of the operators' stream that failed to one
	// that did not.
	operatorFails atomic.Bool
}

// NewLoop makes a loop that knows nothing yet.
func NewLoop(cfg Config) *Loop {
	l := &Loop{cfg: cfg, state: NewState(cfg.Self, cfg.Clock.Now()), events: make(chan Event, queueLength), started: make(chan struct{})}
	l.view.Store(l.state.View())
	return l
}

// View returns the newest view. It never blocks.
func (l *Loop) View() *View { return l.view.Load() }

// Started returns a channel that is closed once the process knows its site.
func (l *Loop) Started() <-chan struct{} { return l.started }

// Dropped counts the reports that were dropped because control was busy, or because their
// records could not be unpacked.
func (l *Loop) Dropped() int64 { return l.lost.Load() }

// Leave tells the other entries that this one stops.
func (l *Loop) Leave(ctx context.Context) { l.post(ctx, Leave{}) }

// Receive takes a report of another entry. One that finds the queue full is
// dropped, since the next repeats what it said.
func (l *Loop) Receive(r *wire.EntryReport) {
	if err := unpack(r); err != nil {
		l.lost.Add(1)
		return
	}
	h := ReportReceived{Now: l.cfg.Clock.Now(), Report: r}
	if len(r.GetRecords()) > 0 {
		h.Update = l.cfg.Codec.Operator(recordsOn(r, OperatorStream))
		h.Changes = l.cfg.Codec.Endpoints(recordsOn(r, EndpointStream), h.Now)
	}
	select {
	case l.events <- h:
	default:
		l.lost.Add(1)
	}
}

// Run reduces events and reads the store until the context ends.
func (l *Loop) Run(ctx context.Context) {
	for _, f := range l.feeds() {
		go f.run(ctx)
	}
	go l.register(ctx)
	go l.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(ctx, e)
		}
	}
}

func (l *Loop) post(ctx context.Context, e Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

func (l *Loop) step(ctx context.Context, e Event) {
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

// publish hands traffic a new view.
func (l *Loop) publish() {
	before := l.View().Started()
	v := l.state.View()
	l.view.Store(v)
	if !before && v.Started() {
		close(l.started)
		l.cfg.Log.Info("Site is known", "after", l.state.now-l.state.startedAt, "config", v.Config().Version, "endpoints", v.Fleet().Size())
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
	}
}

// send sends a report, its records packed.
func (l *Loop) send(f SendReport) {
	f.Report.Address = l.cfg.Address
	to := []string{f.To}
	if f.To == "" {
		to = l.others()
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

// others returns the addresses of the other entries.
func (l *Loop) others() (to []string) {
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
	key, value := l.cfg.Codec.VerdictRecord(w.Verdict)
	err := l.cfg.Store.Append(call, StatusStream, key, value, w.At)
	l.post(ctx, WriteDone{Now: l.cfg.Clock.Now(), Verdict: w.Verdict, Err: err})
}

func (l *Loop) tick(ctx context.Context) {
	for clock.Pause(ctx, tickEvery) {
		if l.View().moving() {
			c := l.cfg.Counts()
			c.Now = l.cfg.Clock.Now()
			l.post(ctx, c)
		}
		l.post(ctx, Tick{Now: l.cfg.Clock.Now()})
	}
}
