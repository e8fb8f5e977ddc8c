// Package site keeps what a process believes of its site: the configuration in
// force, the endpoints, the upgrades under way and the other entries. One
// goroutine reduces all events into this state and publishes views of it, which
// traffic reads without locks.
package site

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("site")

// ErrMoved marks a conditional append to a stream that ends elsewhere.
var ErrMoved = Errors.NewType("moved")

// Stream names a stream of the store.
type Stream int

// The streams.
const (
	// OperatorStream holds what operators publish.
	OperatorStream Stream = iota
	// EndpointStream holds the endpoints' announcements.
	EndpointStream
	// StatusStream holds the states of upgrades.
	StatusStream
	// EntryStream holds the entries' addresses.
	EntryStream
)

// String names the stream for logs.
func (s Stream) String() string {
	return [...]string{"operator", "endpoint", "status", "entry"}[s]
}

// Record is a keyed record of a stream. One without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the platform's store.
type Store struct {
	// Newest returns the newest record of each key, and the offset from which
	// Read goes on.
	Newest func(ctx context.Context, s Stream) (records []Record, next int64, err error)
	// Read returns the records from an offset on. It waits for the first one. An
	// offset below the first kept one gives provider.ErrExpired.
	Read func(ctx context.Context, s Stream, from int64, wait clock.Millis) (records []Record, next int64, err error)
	// Append adds a record, with at not below 0 only while the stream ends there;
	// ErrMoved says that it does not.
	Append func(ctx context.Context, s Stream, key string, value []byte, at int64) (err error)
}

// Codec translates the records of the platform.
type Codec struct {
	Operator      func(records []Record) OperatorUpdate
	Endpoints     func(records []Record, now clock.Millis) []fleet.Change
	Verdicts      func(records []Record) []Verdict
	VerdictRecord func(v Verdict) (key string, value []byte)
}

// OperatorUpdate is what operators published since the last look.
type OperatorUpdate struct {
	// Config is nil when it did not change.
	Config  *catalog.Config
	Orders  []upgrade.Order
	Zones   []ZoneChange
	Invalid []InvalidRecord
}

// ZoneChange takes a zone out of service or back in.
type ZoneChange struct {
	Zone string
	Out  bool
}

// InvalidRecord is a record that cannot be used.
type InvalidRecord struct {
	Key    string
	Offset int64
	Reason string
}

// Verdict is the agreed state of an upgrade.
type Verdict struct {
	Service string
	Target  string
	Phase   upgrade.Phase
}
