// Package provider holds the clients of the platform's services: the log, the
// VM list, the weight store and the rater. Each is a struct of functions, so
// that a site's own protocol replaces one adapter and nothing else.
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
	// ErrUnavailable marks a service that refused or could not be reached
	// before the call took effect.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrUnknown marks a call whose answer was lost: it may have taken effect.
	ErrUnknown = Errors.NewType("unknown")
	// ErrBusy marks a call refused by a rate limit; it had no effect.
	ErrBusy = Errors.NewType("busy")
	// ErrExpired marks a read below the first record the log still keeps.
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
	// First is the lowest offset the log still keeps.
	First int64 `json:"first"`
	// Head is the offset the next append will get.
	Head    int64    `json:"head"`
	Records []Record `json:"records"`
}

// Log is the append-only log.
type Log struct {
	// Append adds one record and returns its offset. ErrUnknown means that the
	// record may stand on the log.
	Append func(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns records from an offset on. It waits up to wait for the first
	// one when there is none. From an offset beyond the head it returns no
	// records, but First and Head; below First it fails with ErrExpired. Offsets
	// of a stream have no holes.
	Read func(ctx context.Context, stream string, from int64, wait clock.Millis) (p Page, err error)
}

// Roles of VMs.
const (
	EntryRole    = "entry"
	EndpointRole = "endpoint"
)

// VM is one line of the platform's list.
type VM struct {
	ID     string `json:"id"`
	Role   string `json:"role"`
	Pool   string `json:"pool,omitempty"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the IP number and port of the process's peer interface.
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList struct {
	List func(ctx context.Context) (vms []VM, err error)
}

// WeightStore is the rate-limited store of model weights.
type WeightStore struct {
	// Fetch makes a version's weights available to the VM's engine. ErrBusy
	// means that the rate limit refused it.
	Fetch func(ctx context.Context, version string) (err error)
}

// Sample is one answer handed to the rater.
type Sample struct {
	Request string `json:"request"`
	Route   string `json:"route"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// Rating is the rater's late verdict on a sample.
type Rating struct {
	Request string  `json:"request"`
	Score   float64 `json:"score"`
}

// Rater is the service that rates answers.
type Rater struct {
	// Judge rates one answer at once, at a cost in latency.
	Judge func(ctx context.Context, s Sample) (score float64, err error)
	// Submit hands over a sample whose rating comes later, or never.
	Submit func(ctx context.Context, s Sample) (err error)
	// Ratings returns the ratings from a position on and the next position.
	Ratings func(ctx context.Context, from int64) (ratings []Rating, next int64, err error)
}
