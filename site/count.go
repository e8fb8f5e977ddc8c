package site

import (
	"fmt"
	"io"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Count adds one to a counter.
type Count struct{ Name string }

func (Count) effect() {}

// Sources of confirmations.
const (
	fromRead = "read"
	// fromSettlingRead is a read while the store settles, which confirms less.
	fromSettlingRead = "settling-read"
	fromReply        = "reply"
	fromState        = "state"
)

// countConfirmation counts a confirmation of the configuration by its source. It applies if it is for
// what this entry has.
func countConfirmation(source string, applies bool) Count {
	outcome := "differs"
	if applies {
		outcome = "applied"
	}
	return Count{fmt.Sprintf("parsleydeal_config_confirmations_total{source=%q,outcome=%q}", source, outcome)}
}

// Outcomes of updates that other entries send.
const (
	updateApplied = "applied"
	updateKnown   = "known"
	updateGap     = "gap"
)

func countUpdate(outcome string) Count {
	return Count{fmt.Sprintf("parsleydeal_operator_updates_total{outcome=%q}", outcome)}
}

// invalidLog limits the log lines about records that cannot be used to maxInvalidLines in each second.
type invalidLog struct {
	since clock.Millis
	lines int
}

const maxInvalidLines = 8

// recordInvalid counts a record that cannot be used and logs it with the version that stays in force.
func (s *State) recordInvalid(r InvalidRecord) (effects []Effect) {
	effects = []Effect{Count{fmt.Sprintf("parsleydeal_operator_records_unused_total{defect=%q}", r.Defect)}}
	if s.now-s.invalid.since >= clock.Second {
		s.invalid = invalidLog{since: s.now}
	}
	if s.invalid.lines++; s.invalid.lines > maxInvalidLines {
		return effects
	}
	return append(effects, LogLine{Message: "Operator's record cannot be used", Fields: []any{
		"key", r.Key, "offset", r.Offset, "defect", r.Defect, "reason", r.Reason, "config", s.configVersion(),
	}, Warn: true})
}

// newerLogInterval limits log lines about entries with a newer configuration.
const newerLogInterval = clock.Second

// logNewer logs a report whose sender has a newer configuration that this entry did not get with it.
func (s *State) logNewer(r *wire.EntryReport, outcome string) []Effect {
	if s.config == nil || r.GetVersion() <= s.config.Version() || s.now-s.newerLoggedAt < newerLogInterval {
		return nil
	}
	s.newerLoggedAt = s.now
	return []Effect{LogLine{Message: "Another entry has a newer configuration", Fields: []any{
		"entry", r.GetName(), "version", r.GetVersion(), "config", s.config.Version(), "end", operatorPosition(r), "own-end", s.operator, "update", outcome,
		"confirmed-by", s.confirmedBy, "config-age", s.now - s.confirmedAt,
	}}}
}

// WriteMetrics writes the loop's metrics in the text format of Prometheus.
func (l *Loop) WriteMetrics(w io.Writer) { l.metrics.WritePrometheus(w) }
