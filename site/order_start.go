package site

import (
	"context"
	"maps"

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

// resume returns the upgrade of an order that entries had started before they all lost what they knew.
func (s *State) resume(o upgrade.Order, b OrderStart) *upgrade.Upgrade {
	u := upgrade.Resume(o, s.now, b.Age)
	s.addLatencies(u, previousProcess, b.Latencies)
	return u
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
const startsTimeout = 500 * clock.Millis(1)

// readStarts returns when entries started upgrades, by service.
func (l *Loop) readStarts(ctx context.Context) map[string]OrderStart {
	ctx, cancel := context.WithTimeout(ctx, startsTimeout.Duration())
	defer cancel()
	records, _, err := l.cfg.Store.Newest(ctx, UpgradeStream)
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
