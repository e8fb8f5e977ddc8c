package limit

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

// Share bounds retries relative to requests in each sliding window: the retries of a window are at
// most ratio times the requests of it or of the window that begins half a window earlier, whichever
// has more, plus slack. Instead of the larger number it uses a weighted mean of the two: the means of
// all entries add up however requests are divided among them, maxima do not. Since the weights change
// while a window lasts, a common bound needs a margin in ratio. Unlike with RetryBudget, retries that a quiet part of the
// window leaves unused may be used in a busy part. Retries without which a request fails go first:
// optional ones leave as many as were needed lately. It is safe for concurrent use.
type Share struct {
	mu           sync.Mutex
	windowLength clock.Millis
	ratio        float64
	slack        float64
	// buckets holds the counts of a window and half a window before it. current is the number of the
	// newest bucket, where bucket 0 starts at time 0.
	buckets [windowBuckets + windowBuckets/2 + 1]bucket
	current clock.Millis
	// first is the number of the bucket of the first request; -1 before that.
	first clock.Millis
}

type bucket struct {
	requests int
	retries  int
	// needed counts the retries, allowed or not, of requests that fail without them.
	needed int
}

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
	// reserveBuckets is the number of the latest buckets whose needed retries optional ones must
	// leave. The reserve bridges the time until retries at the start of the window expire; on a
	// calm day it is near 0.
	reserveBuckets = 6
	// inWindowWeight is the weight of a window's own requests at its end. It grows from 0 while the
	// window lasts, so that the first retries of a window may follow requests from before it.
	inWindowWeight = 0.7
)

// NewShare returns a Share without requests.
func NewShare(windowLength clock.Millis, ratio, slack float64) *Share {
	return &Share{windowLength: windowLength, ratio: ratio, slack: slack, first: -1}
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
	if s.first < 0 {
		s.first = s.current
	}
}

// TryRetry counts a retry of a request that fails without it, if it is allowed, and reports whether
// it is.
func (s *Share) TryRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now).needed++
	return s.take(0)
}

// TryOptional counts a retry that may only improve an answer, if it is allowed, and reports whether
// it is.
func (s *Share) TryOptional(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.take(s.reserve())
}

// Return takes back a retry that was counted at the given time and not made.
func (s *Share) Return(countedAt, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if s.holds(s.number(countedAt)) {
		s.bucket(s.number(countedAt)).retries--
	}
}

// State returns the retries of the window that has the fewest left, and how many it allows.
func (s *Share) State(now clock.Millis) (retries int, allowed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.tightest()
}

// take counts a retry if it leaves reserve retries in every window.
func (s *Share) take(reserve int) bool {
	retries, allowed := s.tightest()
	if float64(retries+1+reserve) > allowed {
		return false
	}
	s.bucket(s.current).retries++
	return true
}

// reserve returns how many retries optional ones must leave.
func (s *Share) reserve() (n int) {
	for i := range clock.Millis(reserveBuckets) {
		n += s.bucket(s.current - i).needed
	}
	return n
}

// halfWindow is the number of buckets in half a window.
const halfWindow = windowBuckets / 2

// tightest returns the retries of the window that has the fewest left, and how many it allows. The
// windows are those that began in any bucket and still last.
func (s *Share) tightest() (retries int, allowed float64) {
	newest := len(s.buckets) - 1
	oldest := s.current - clock.Millis(newest)
	// before[i] counts the requests before the i-th oldest bucket.
	var before [len(s.buckets) + 1]int
	for i := range s.buckets {
		before[i+1] = before[i] + s.bucket(oldest+clock.Millis(i)).requests
	}
	retries = s.bucket(s.current).retries
	allowed = s.allowed(before[:], newest)
	sum := retries
	// This process has not seen the requests before its first one, so that windows which began
	// earlier tell nothing.
	for i := newest - 1; i >= halfWindow && oldest+clock.Millis(i) >= s.first; i-- {
		sum += s.bucket(oldest + clock.Millis(i)).retries
		if n := s.allowed(before[:], i); n-float64(sum) < allowed-float64(retries) {
			retries, allowed = sum, n
		}
	}
	return retries, allowed
}

// allowed returns how many retries a window may have that began in the i-th oldest bucket. Only
// buckets that lie wholly in a window count for its requests, since it may have begun anywhere in
// that bucket.
func (s *Share) allowed(before []int, i int) float64 {
	newest := len(s.buckets) - 1
	inWindow := before[newest+1] - before[i+1]
	earlier := before[min(i+halfWindow, newest+1)] - before[i-halfWindow+1]
	weight := inWindowWeight * float64(newest-i) / windowBuckets
	return s.ratio*(weight*float64(inWindow)+(1-weight)*float64(earlier)) + s.slack
}

// advance clears the buckets that are too old and returns the current one.
func (s *Share) advance(now clock.Millis) *bucket {
	number := s.number(now)
	for i := s.current + 1; i <= number && i <= s.current+clock.Millis(len(s.buckets)); i++ {
		*s.bucket(i) = bucket{}
	}
	s.current = max(s.current, number)
	return s.bucket(s.current)
}

// number returns the number of the bucket for the time at.
func (s *Share) number(at clock.Millis) clock.Millis {
	return at / max(s.windowLength/windowBuckets, 1)
}

// holds reports whether the counts of a bucket are still kept.
func (s *Share) holds(number clock.Millis) bool {
	return number > s.current-clock.Millis(len(s.buckets))
}

// bucket returns the bucket with the given number, which may be negative before the first window.
func (s *Share) bucket(number clock.Millis) *bucket {
	n := clock.Millis(len(s.buckets))
	return &s.buckets[(number%n+n)%n]
}
