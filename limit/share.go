package limit

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

// Share bounds retries relative to the requests of the same sliding window: each window allows at
// most ratio times its requests plus slack. Each entry has its own Share, so that together the
// entries stay within a common bound. Unlike with RetryBudget, retries that a quiet part of the
// window leaves unused may be used in a busy part. Retries without which a request fails go first:
// optional ones leave as many as were needed lately. It is safe for concurrent use.
type Share struct {
	mu           sync.Mutex
	windowLength clock.Millis
	ratio        float64
	slack        float64
	// buckets holds the counts of one window. current is the number of the newest bucket, where
	// bucket 0 starts at time 0.
	buckets [windowBuckets + 1]bucket
	current clock.Millis
}

type bucket struct {
	requests int
	retries  int
	// needed counts the retries, allowed or not, of requests that fail without them.
	needed int
}

const (
	// windowBuckets is the number of buckets in a window. Retries are counted for one bucket longer
	// than requests, so that the bound holds for every window, also for one that begins in the
	// middle of a bucket.
	windowBuckets = 10
	// reserveBuckets is the number of the latest buckets whose needed retries optional ones must
	// leave. The reserve bridges the time until retries at the start of the window expire; on a
	// calm day it is near 0.
	reserveBuckets = 3
)

// NewShare returns a Share without requests.
func NewShare(windowLength clock.Millis, ratio, slack float64) *Share {
	return &Share{windowLength: windowLength, ratio: ratio, slack: slack}
}

// SetSlack changes the retries that are allowed without any requests. It follows the number of
// entries that share the common bound.
func (s *Share) SetSlack(slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slack = slack
}

// RecordRequest counts a request.
func (s *Share) RecordRequest(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now).requests++
}

// TryRetry counts a retry of a request that fails without it, if it is allowed, and reports whether
// it is.
func (s *Share) TryRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.advance(now)
	b.needed++
	return s.take(b, 0)
}

// TryOptional counts a retry that may only improve an answer, if it is allowed, and reports whether
// it is.
func (s *Share) TryOptional(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.advance(now)
	return s.take(b, s.reserve())
}

// Return takes back a retry that was counted at the given time and not made.
func (s *Share) Return(countedAt, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	buckets := clock.Millis(len(s.buckets))
	if number := s.number(countedAt); number > s.current-buckets {
		s.buckets[number%buckets].retries--
	}
}

// take counts a retry in the current bucket b if it leaves reserve retries.
func (s *Share) take(b *bucket, reserve int) bool {
	if !s.hasRoom(reserve) {
		return false
	}
	b.retries++
	return true
}

// reserve returns how many retries optional ones must leave.
func (s *Share) reserve() (n int) {
	buckets := clock.Millis(len(s.buckets))
	for i := range clock.Millis(reserveBuckets) {
		n += s.buckets[(s.current+buckets-i)%buckets].needed
	}
	return n
}

// State returns the retries of the current window and how many it allows.
func (s *Share) State(now clock.Millis) (retries int, allowed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.state()
}

func (s *Share) hasRoom(reserve int) bool {
	retries, allowed := s.state()
	return float64(retries+1+reserve) <= allowed
}

func (s *Share) state() (retries int, allowed float64) {
	requests := 0
	for i, x := range s.buckets {
		retries += x.retries
		if clock.Millis(i) != (s.current+1)%clock.Millis(len(s.buckets)) {
			requests += x.requests
		}
	}
	return retries, s.ratio*float64(requests) + s.slack
}

// advance clears the buckets that are older than the window and returns the current one.
func (s *Share) advance(now clock.Millis) *bucket {
	number := s.number(now)
	n := clock.Millis(len(s.buckets))
	for i := s.current + 1; i <= number && i <= s.current+n; i++ {
		s.buckets[i%n] = bucket{}
	}
	s.current = max(s.current, number)
	return &s.buckets[s.current%n]
}

// number returns the number of the bucket for the time at.
func (s *Share) number(at clock.Millis) clock.Millis {
	return at / max(s.windowLength/windowBuckets, 1)
}
