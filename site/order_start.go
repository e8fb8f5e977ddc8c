package site

import (
	"context"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// OrderStart describes when entries started the upgrade of an order. It is kept in the store, because all entries may lose
// power, and with it the time from which the deadline counts and what the new version is compared with.
type OrderStart struct {
	// Number is the number of the order.
	Number int64
	// Age is how long ago they started it.
	Age clock.Millis
	// Latencies are samples of the old version from before.
	Latencies upgrade.Latencies
}

// previousProcess is the name under which the recorded samples count as those of a process.
const previousProcess = "before"

// startToWrite returns what is to be recorded with a verdict; nil if there is nothing, or if it is recorded.
func (s *State) startToWrite(v Verdict) *OrderStart {
	u := s.upgrades[v.Service]
	if v.Phase != upgrade.Running || u == nil || u.Order().Target != v.Target || u.Resumed() {
		return nil
	}
	b := &OrderStart{Number: u.Order().Number, Age: u.Schedule().Age(s.now), Latencies: maps.Clone(s.latencies[v.Service])}
	maps.DeleteFunc(b.Latencies, func(x upgrade.LatencyBucket, _ int64) bool { return x.Target })
	return b
}

// resumedOrder is the start of an order that this entry has resumed, with the time at which it did.
type resumedOrder struct {
	OrderStart
	at clock.Millis
}

// resume returns the upgrade of an order that entries had started before they all lost what they knew.
func (s *State) resume(o upgrade.Order, b OrderStart) *upgrade.Upgrade {
	s.resumed[o.Service] = resumedOrder{b, s.now}
	u := upgrade.Resume(o, s.now, b.Age)
	s.addLatencies(u, previousProcess, b.Latencies)
	return u
}

// resumedToWire returns the starts of the running upgrades that this entry has resumed, for an entry that starts.
func (s *State) resumedToWire() (out []*wire.UpgradeStart) {
	for _, service := range slices.Sorted(maps.Keys(s.resumed)) {
		b, u := s.resumed[service], s.upgrades[service]
		if u == nil || u.Phase() != upgrade.Running || u.Order().Number != b.Number {
			continue
		}
		at := positionOf(b.Number)
		out = append(out, &wire.UpgradeStart{Service: service, Number: at.Offset, Era: at.Era, StartedMillis: int64(b.Age + s.now - b.at), Latencies: latenciesToWire(b.Latencies)})
	}
	return out
}

// resumedFromWire returns the starts in another entry's state, by service.
func resumedFromWire(in []*wire.UpgradeStart) map[string]OrderStart {
	starts := make(map[string]OrderStart)
	for _, m := range in {
		starts[m.GetService()] = OrderStart{Number: Position{m.GetEra(), m.GetNumber()}.Number(), Age: clock.Millis(m.GetStartedMillis()), Latencies: latenciesFromWire(m.GetLatencies())}
	}
	return starts
}

// writeStart records when this entry started the upgrade of an order.
func (l *Loop) writeStart(ctx context.Context, service string, b OrderStart) {
	at := positionOf(b.Number)
	value, err := deflate(&wire.UpgradeStart{Number: at.Offset, Era: at.Era, StartedMillis: l.cfg.TimeOfDay() - int64(b.Age), Latencies: latenciesToWire(b.Latencies)})
	if err == nil {
		_, err = l.cfg.Store.Append(ctx, UpgradeStream, service, value, -1)
	}
	if err != nil {
		l.cfg.Log.Warn("Start of upgrade could not be written", "service", service, "error", logbook.Text(err))
	}
}

// startsTimeout bounds the reading of the starts of upgrades, for which the start of this entry waits.
const startsTimeout = 2 * clock.Second

// readStarts returns when entries started upgrades, by service.
func (l *Loop) readStarts(ctx context.Context) map[string]OrderStart {
	ctx, cancel := context.WithTimeout(ctx, startsTimeout.Duration())
	defer cancel()
	var records []Record
	read := func(ctx context.Context) (err error) {
		records, _, err = l.cfg.Store.Newest(ctx, UpgradeStream)
		return err
	}
	err := l.readUntilAnswered(ctx, read)
	for err != nil && clock.Pause(ctx, minReadInterval) {
		err = l.readUntilAnswered(ctx, read)
	}
	if err != nil {
		l.cfg.Log.Warn("Starts of upgrades could not be read", "error", logbook.Text(err))
	}
	starts := make(map[string]OrderStart)
	for _, r := range records {
		var m wire.UpgradeStart
		if err := inflate(r.Value, &m); err != nil {
			l.cfg.Log.Warn("Start of upgrade cannot be used", "service", r.Key, "error", logbook.Text(err))
			continue
		}
		age := clock.Millis(l.cfg.TimeOfDay() - m.GetStartedMillis())
		starts[r.Key] = OrderStart{Number: Position{m.GetEra(), m.GetNumber()}.Number(), Age: age, Latencies: latenciesFromWire(m.GetLatencies())}
	}
	return starts
}
