// Package site holds a process's state of its site: the configuration in force, the endpoints, the
// upgrades in progress and the other entries. One goroutine reduces all events into this state and
// publishes views of it, which traffic reads without locks. A few entries, the delegates, act on
// behalf of all: the readers read the store, and the judges of upgrades decide from the counts of
// all entries whether an upgrade is completed or rolled back.
package site

import (
	"context"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("site")

// ErrMoved is returned by a conditional append if the stream does not end at the expected offset.
var ErrMoved = Errors.NewType("moved")

// Stream identifies a stream of the store.
type Stream int

// The streams of the store.
const (
	// OperatorStream holds what operators publish.
	OperatorStream Stream = iota
	// EndpointStream holds the endpoints' registrations.
	EndpointStream
	// StatusStream holds the verdicts on upgrades.
	StatusStream
	// EntryStream holds the entries' addresses.
	EntryStream
	// UpgradeStream holds when entries started the upgrades of orders.
	UpgradeStream
)

// String returns the name of the stream for logs.
func (s Stream) String() string {
	return [...]string{"operator", "endpoint", "status", "entry", "upgrade"}[s]
}

// Record is a keyed record of a stream. A record with an empty value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Era is the era of the store in which the record has its offset; 0 if it is unknown.
	Era int64
}

// Position returns the position of the record.
func (r Record) Position() Position { return Position{r.Era, r.Offset} }

// Revision returns the revision of an endpoint's registration or removal. A removal without a position, as entries of
// earlier releases send it, has none.
func (r Record) Revision() fleet.Revision {
	if r.Offset == 0 && len(r.Value) == 0 {
		return fleet.Revision{}
	}
	return fleet.Revision{Era: r.Era, Next: r.Offset + 1}
}

// removalOf returns the record of the removal of an endpoint at a revision.
func removalOf(id string, at fleet.Revision) Record {
	return Record{Key: id, Offset: at.Next - 1, Era: at.Era}
}

// Store is the platform's store.
type Store struct {
	// Newest returns the newest record of each key and the position at which Read continues.
	Newest func(ctx context.Context, s Stream) (records []Record, next Position, err error)
	// Sample returns the newest records of some keys, as many as one call brings.
	Sample func(ctx context.Context, s Stream) (records []Record, err error)
	// Read returns the records from an offset on and the position after them, waiting up to wait for
	// the first one. It returns provider.ErrExpired if the store does not have that offset. The era
	// of the position is that of the store, in which the offset may mean another place.
	Read func(ctx context.Context, s Stream, from int64, wait clock.Millis) (records []Record, next Position, err error)
	// History returns the last n records of a stream before an offset, those that were replaced included, as
	// far as the store still has them. Nil if the store keeps none.
	History func(ctx context.Context, s Stream, end, n int64) (records []Record, err error)
	// Append adds a record and returns the era in which it was added. If at is not negative, the
	// append is conditional and fails with ErrMoved unless the stream ends at that offset.
	Append func(ctx context.Context, s Stream, key string, value []byte, at int64) (era int64, err error)
	// Renew has later calls use new connections: those that are open may have gone silent for good. Nil if calls use
	// none.
	Renew func()
	// Era returns the highest era that an answer of the store named; 0 before the first. It counts
	// the store's returns from an older copy. Nil if the store has no eras.
	Era func() int64
}

// Codec translates the platform's records.
type Codec struct {
	Operator      func(records []Record) OperatorUpdate
	Endpoints     func(records []Record, now clock.Millis) []fleet.Change
	Verdicts      func(records []Record) []Verdict
	VerdictRecord func(v Verdict) (key string, value []byte)
}

// OperatorUpdate is what operators published since the previous read.
type OperatorUpdate struct {
	// Config is the valid configuration with the highest version, decoded from ConfigRecord; nil if there
	// is none.
	Config       *catalog.Config
	ConfigRecord Record
	Orders       []upgrade.Order
	Zones        []ZoneChange
	// Records are the other records that are used, in order.
	Records []Record
	Invalid []InvalidRecord
}

// version returns the version of the configuration; 0 if there is none.
func (u OperatorUpdate) version() int64 {
	if u.Config == nil {
		return 0
	}
	return u.Config.Version()
}

// hides reports whether the newest record of a key cannot be used, so that an earlier one stays in force.
func (u OperatorUpdate) hides(key string) bool {
	return slices.ContainsFunc(u.Invalid, func(r InvalidRecord) bool { return r.Key == key })
}

// ZoneChange takes an availability zone out of service or back in.
type ZoneChange struct {
	Zone string
	Out  bool
}

// InvalidRecord describes a record that cannot be used.
type InvalidRecord struct {
	Key    string
	Offset int64
	// Defect is the kind of defect, one of a few for metrics; Reason tells it in full.
	Defect string
	Reason string
}

// OutdatedConfig describes the record of a configuration that is not newer than another one.
func OutdatedConfig(r Record, version, known int64) InvalidRecord {
	return InvalidRecord{Key: r.Key, Offset: r.Offset, Defect: "outdated", Reason: fmt.Sprintf("version %d, not newer than %d", version, known)}
}

// Verdict is the agreed state of an upgrade.
type Verdict struct {
	Service string
	Target  string
	Phase   upgrade.Phase
}
