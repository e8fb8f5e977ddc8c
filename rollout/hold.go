// Package rollout detects versions that turn bad during a roll-out or later, and holds them: a
// held version gets no new work from any process. A judge is a process that sums the outcome
// counts of a version and decides whether to hold it. It appends the hold to the log, from which
// all processes read it.
package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/table"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("rollout")

// ErrMalformed is the type of errors for records that do not encode a hold.
var ErrMalformed = Errors.NewType("malformed")

// Scope is what a hold applies to.
type Scope struct {
	Version string
	// Organisation is empty when the version is held for all organisations.
	Organisation string
}

// ID returns the ID of the log record for a hold of the scope. released is the version's release
// number.
func (s Scope) ID(released int64) string {
	return "hold/" + s.Version + "/" + s.Organisation + "/" + itoa(released)
}

// Encode encodes a hold as a log record.
func Encode(h *wire.Hold) (data []byte, err error) {
	data, err = proto.Marshal(h)
	if err != nil {
		err = ErrMalformed.Wrap(err, "encode hold")
	}
	return data, err
}

// Decode decodes a log record and checks that the name of its version is well-formed. The error is
// an ErrMalformed.
func Decode(data []byte) (h *wire.Hold, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "decode hold")
		}
	}()
	h = &wire.Hold{}
	if err = proto.Unmarshal(data, h); err != nil {
		return nil, err
	}
	if _, _, ok := table.SplitVersion(h.GetVersion()); !ok {
		return nil, ErrMalformed.New("version %q", h.GetVersion())
	}
	return h, nil
}

// Holds is an immutable set of the holds in force. A nil set is empty.
type Holds struct {
	holds map[Scope]*wire.Hold
}

// NewHolds returns a set of the given holds.
func NewHolds(list ...*wire.Hold) *Holds {
	h := &Holds{holds: make(map[Scope]*wire.Hold, len(list))}
	for _, x := range list {
		h.holds[scopeOf(x)] = x
	}
	return h
}

func scopeOf(h *wire.Hold) Scope {
	return Scope{Version: h.GetVersion(), Organisation: h.GetOrganisation()}
}

// Held reports whether a version gets no new work from an organisation.
func (h *Holds) Held(version, organisation string) bool {
	if h == nil || len(h.holds) == 0 {
		return false
	}
	if _, all := h.holds[Scope{Version: version}]; all {
		return true
	}
	_, one := h.holds[Scope{Version: version, Organisation: organisation}]
	return one
}

// MaxDigestHolds bounds the holds in one message to a peer. Processes that read the log get all
// holds from there.
const MaxDigestHolds = 64

// Logged returns up to MaxDigestHolds of the holds that are on the log, to be sent to peers.
func (h *Holds) Logged() (out []*wire.Hold) {
	for _, x := range h.List() {
		if x.GetOffset() >= 0 && len(out) < MaxDigestHolds {
			out = append(out, x)
		}
	}
	return out
}

func (h *Holds) has(scope Scope) bool {
	_, ok := h.holds[scope]
	return ok
}

// List returns the holds sorted by version and organisation.
func (h *Holds) List() (out []*wire.Hold) {
	if h == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(h.holds), func(a, b *wire.Hold) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetOrganisation(), b.GetOrganisation()))
	})
}
