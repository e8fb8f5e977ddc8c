package site

import (
	"context"
	"maps"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// OrderBegun is that entries began with an order of an upgrade. It is kept in the store, because all entries may lose
// power, and with it the time from which the order's deadline counts and what the new version is compared with.
type OrderBegun struct {
	// Number is the number of the order.
	Number int64
	// Age is how long ago they began with it.
	Age clock.Millis
	// Latencies are samples of the old version from before.
	Latencies upgrade.Latencies
}

// begunProcess is the name under which the recorded samples count as those of a process.
const begunProcess = "before"

// begunToWrite returns what is to be recorded with a verdict; nil if there is nothing, or if it is recorded.
func (s *State) begunToWrite(v Verdict) *OrderBegun {
	u := s.upgrades[v.Service]
	if v.Phase != upgrade.Running || u == nil || u.Order().Target != v.Target || u.Resumed() {
		return nil
	}
	b := &OrderBegun{Number: u.Order().Number, Age: u.Schedule().Age(s.now), Latencies: maps.Clone(s.latencies[v.Service])}
	maps.DeleteFunc(b.Latencies, func(x upgrade.LatencyBucket, _ int64) bool { return x.Target })
	return b
}

// resume returns the upgrade to an order with which entries began before they all lost what they knew.
func (s *State) resume(o upgrade.Order, b OrderBegun) *upgrade.Upgrade {
	u := upgrade.Resume(o, s.now, b.Age)
	s.addLatencies(u, begunProcess, b.Latencies)
	return u
}

// writeBegun records when this entry began with an order.
func (l *Loop) writeBegun(ctx context.Context, service string, b OrderBegun) {
	at := positionOf(b.Number)
	value, err := deflate(&wire.UpgradeStart{Number: at.Offset, Era: at.Era, BegunMillis: l.cfg.TimeOfDay() - int64(b.Age), Latencies: latenciesToWire(b.Latencies)})
	if err == nil {
		_, err = l.cfg.Store.Append(ctx, UpgradeStream, service, value, -1)
	}
	if err != nil {
		l.cfg.Log.Warn("Start of upgrade could not be written", "service", service, "error", logbook.Text(err))
	}
}

// begunTimeout bounds the reading of when orders began. A start of this entry waits for it.
const begunTimeout = 500 * clock.Millis(1)

// readBegun returns when entries began with orders, by service.
func (l *Loop) readBegun(ctx context.Context) map[string]OrderBegun {
	ctx, cancel := context.WithTimeout(ctx, begunTimeout.Duration())
	defer cancel()
	records, _, err := l.cfg.Store.Newest(ctx, UpgradeStream)
	if err != nil {
		l.cfg.Log.Warn("Starts of upgrades could not be read", "error", logbook.Text(err))
	}
	began := make(map[string]OrderBegun)
	for _, r := range records {
		var m wire.UpgradeStart
		if err := inflate(r.Value, &m); err != nil {
			l.cfg.Log.Warn("Start of upgrade cannot be used", "service", r.Key, "error", logbook.Text(err))
			continue
		}
		age := clock.Millis(l.cfg.TimeOfDay() - m.GetBegunMillis())
		began[r.Key] = OrderBegun{Number: Position{m.GetEra(), m.GetNumber()}.Number(), Age: age, Latencies: latenciesFromWire(m.GetLatencies())}
	}
	return began
}
