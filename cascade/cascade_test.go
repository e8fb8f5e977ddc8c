package cascade

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"pgregory.net/rapid"
)

const latencyTarget = 2000 * clock.Millis(1)

func escalates(confidence int, firstByte, remaining clock.Millis) bool {
	return NewEscalator(decision.Strategies{}).ShouldEscalate(Answer{Confidence: confidence, Remaining: remaining}, LargerModel{FirstByte: firstByte, QueueWait: firstByte})
}

// Endpoints are overloaded, and the larger model's first byte takes all the remaining time.
// Answers of the small model must be delivered unless they are hopeless. If an answer is escalated
// under some load it must also be escalated under a lower one, and if a good answer is escalated a
// worse one must be too.
func TestFewerAnswersAreEscalatedUnderLoad(t *testing.T) {
	is := is.New(t)
	is.True(escalates(50, 200, latencyTarget))
	is.True(!escalates(70, 200, latencyTarget))
	is.True(!escalates(40, latencyTarget, latencyTarget))
	is.True(escalates(0, latencyTarget*8/10, latencyTarget))
	is.True(!escalates(10, 100, -1))
	rapid.Check(t, func(t *rapid.T) {
		confidence := rapid.IntRange(0, 100).Draw(t, "confidence")
		better := rapid.IntRange(confidence, 100).Draw(t, "better")
		shorter := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "shorter"))
		longer := shorter + clock.Millis(rapid.IntRange(0, 5000).Draw(t, "longer"))
		if escalates(confidence, longer, latencyTarget) && !escalates(confidence, shorter, latencyTarget) {
			t.Fatalf("an answer of %d is dropped when the first byte takes %s, and delivered at %s", confidence, longer, shorter)
		}
		if escalates(better, shorter, latencyTarget) && !escalates(confidence, shorter, latencyTarget) {
			t.Fatalf("an answer of %d is dropped at %s, and one of %d is delivered", better, shorter, confidence)
		}
	})
}

// A model reports no confidence in its answer. Nothing shows that the answer is poor, so it must
// be delivered.
func TestAnswersWithoutConfidenceAreKept(t *testing.T) {
	is := is.New(t)
	is.True(!escalates(-1, 100, latencyTarget))
}

// No time remains until the latency target, so the larger model's answer would be late. It is then
// worth its price only if the small model's answer is poor; one with a confidence of 60 must be
// delivered.
func TestLateAnswersAreDroppedOnlyWhenPoor(t *testing.T) {
	is := is.New(t)
	is.True(!escalates(60, 500, 0))
}

// Endpoints are busy but no request waits for the larger model. The larger model's time must then
// not count against escalation: poor answers would be delivered for the sake of other requests,
// which are in time anyway.
func TestLargerModelIsChargedByItsQueueWait(t *testing.T) {
	is := is.New(t)
	e := NewEscalator(decision.Strategies{})
	answer := Answer{Confidence: 49, Remaining: latencyTarget}
	busy, queued := LargerModel{FirstByte: 900, QueueWait: 50}, LargerModel{FirstByte: 900, QueueWait: 700}
	is.True(!e.ShouldEscalate(answer, busy)) // pressure starts at 1
	for range 100 {
		e.ShouldEscalate(answer, busy)
	}
	is.True(e.ShouldEscalate(answer, busy))
	for range 100 {
		e.ShouldEscalate(answer, queued)
	}
	is.True(!e.ShouldEscalate(answer, queued))
	is.True(!e.ShouldEscalate(answer, busy))
}
