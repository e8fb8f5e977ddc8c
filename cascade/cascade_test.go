package cascade

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"pgregory.net/rapid"
)

const aim = 2000 * clock.Millis(1)

func drops(confidence int, first, left clock.Millis) bool {
	return NewEscalator(decision.Strategies{}).ShouldEscalate(Answer{Confidence: confidence, Remaining: left}, LargerModel{FirstByte: first, QueueWait: first})
}

// Endpoints are overloaded, and the larger model's first byte takes as long as a
// request has left. Small answers are handed on unless they are hopeless; as the load
// falls more is asked for again, and never less, and a better answer is never dropped
// where a worse one is kept.
func TestFewerAnswersAreEscalatedUnderLoad(t *testing.T) {
	is := is.New(t)
	is.True(drops(50, 200, aim))
	is.True(!drops(70, 200, aim))
	is.True(!drops(40, aim, aim))
	is.True(drops(0, aim*8/10, aim))
	is.True(!drops(10, 100, -1))
	rapid.Check(t, func(t *rapid.T) {
		confidence := rapid.IntRange(0, 100).Draw(t, "confidence")
		better := rapid.IntRange(confidence, 100).Draw(t, "better")
		calm := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "calm"))
		busy := calm + clock.Millis(rapid.IntRange(0, 5000).Draw(t, "busy"))
		if drops(confidence, busy, aim) && !drops(confidence, calm, aim) {
			t.Fatalf("an answer of %d is dropped when the first byte takes %s, and kept at %s", confidence, busy, calm)
		}
		if drops(better, calm, aim) && !drops(confidence, calm, aim) {
			t.Fatalf("an answer of %d is dropped at %s, and one of %d kept", better, calm, confidence)
		}
	})
}

// A model says nothing of its answer. It is handed on: nothing speaks against it.
func TestAnswersWithoutConfidenceAreKept(t *testing.T) {
	is := is.New(t)
	is.True(!drops(-1, 100, aim))
}

// The time to be of full use has passed already. The larger model's answer would be
// late too, and worth no more than the one at hand unless that is poor.
func TestLateAnswersAreDroppedOnlyWhenPoor(t *testing.T) {
	is := is.New(t)
	is.True(!drops(60, 500, 0))
}

// Endpoints are busy but nobody waits for the larger model. Charged for its time all the
// same, poor answers are kept for the sake of requests that would be in time anyway.
func TestLargerModelIsChargedByItsQueueWait(t *testing.T) {
	is := is.New(t)
	j := NewEscalator(decision.Strategies{})
	answer := Answer{Confidence: 49, Remaining: aim}
	busy, queued := LargerModel{FirstByte: 900, QueueWait: 50}, LargerModel{FirstByte: 900, QueueWait: 700}
	is.True(!j.ShouldEscalate(answer, busy)) // nothing is known yet
	for range 100 {
		j.ShouldEscalate(answer, busy)
	}
	is.True(j.ShouldEscalate(answer, busy))
	for range 100 {
		j.ShouldEscalate(answer, queued)
	}
	is.True(!j.ShouldEscalate(answer, queued))
	is.True(!j.ShouldEscalate(answer, busy))
}
