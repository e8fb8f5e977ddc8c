// Package provider defines the clients of the platform's services: the log, the VM list, the weight store
// and the rater. Each is a struct of functions, so that a site with its own protocol needs to replace only
// the adapter.
package provider

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("provider")

// Kinds of errors.
var (
	// ErrUnavailable marks a call that had no effect because the service refused it or could not be
	// reached.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrUnknown marks a call whose result is unknown; it may have had its effect.
	ErrUnknown = Errors.NewType("unknown")
	// ErrBusy marks a call refused by a rate limit; it had no effect.
	ErrBusy = Errors.NewType("busy")
	// ErrExpired marks a read from an offset below the first record that the log retains.
	ErrExpired = Errors.NewType("expired")
)

// Names of the streams on the log.
const (
	ConfigStream = "config"
	BillStream   = "bills"
	HoldStream   = "holds"
	LeaseStream  = "leases"
)

// Record is one entry of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// First is the lowest offset that the log retains.
	First int64 `json:"first"`
	// Head is the offset of the next append.
	Head    int64    `json:"head"`
	Records []Record `json:"records"`
}

// Log is the append-only log.
type Log struct {
	// Append appends one record and returns its offset. ErrUnknown means that the record may be on the
	// log.
	Append func(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns records starting at an offset. If there are none, it waits up to wait for the first
	// one. For an offset beyond the head it returns First and Head without records; for one below First
	// it fails with ErrExpired. The offsets of a stream have no gaps.
	Read func(ctx context.Context, stream string, from int64, wait clock.Millis) (p Page, err error)
}

// Roles of VMs.
const (
	EntryRole    = "entry"
	EndpointRole = "endpoint"
)

// VM is one item of the platform's VM list.
type VM struct {
	ID     string `json:"id"`
	Role   string `json:"role"`
	Pool   string `json:"pool,omitempty"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the IP address and port of the peer interface of the VM's process.
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// VMList is the platform's list of running and leaving VMs. It may be out of date.
type VMList struct {
	List func(ctx context.Context) (vms []VM, err error)
}

// WeightStore is the rate-limited store of model weights.
type WeightStore struct {
	// Fetch makes a version's weights available to the engine of this VM. ErrBusy means that the rate
	// limit was exceeded.
	Fetch func(ctx context.Context, version string) (err error)
}

// Sample is one answer to be rated.
type Sample struct {
	Request string `json:"request"`
	Route   string `json:"route"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// Rating is the asynchronous rating of a submitted sample.
type Rating struct {
	Request string  `json:"request"`
	Score   float64 `json:"score"`
}

// Rater is the service that rates answers.
type Rater struct {
	// Judge rates one answer synchronously, which adds latency.
	Judge func(ctx context.Context, s Sample) (score float64, err error)
	// Submit submits a sample for a rating that comes later or never.
	Submit func(ctx context.Context, s Sample) (err error)
	// Ratings returns the ratings starting at a position, and the next position.
	Ratings func(ctx context.Context, from int64) (ratings []Rating, next int64, err error)
}
