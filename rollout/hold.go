// Package rollout finds versions that turn bad while they are rolled out, or
// later, and holds them back from new work everywhere.
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

// ErrMalformed marks a record that holds no hold.
var ErrMalformed = Errors.NewType("malformed")

// Scope is what a hold holds.
type Scope struct {
	Version string
	// Organisation is empty when the version is held for all.
	Organisation string
}

// ID names the scope's hold of one release in the log.
func (s Scope) ID(released int64) string {
	return "hold/" + s.Version + "/" + s.Organisation + "/" + itoa(released)
}

// Encode writes a hold as a record of the log.
func Encode(h *wire.Hold) (data []byte, err error) {
	data, err = proto.Marshal(h)
	if err != nil {
		err = ErrMalformed.Wrap(err, "encode hold")
	}
	return data, err
}

// Decode reads a record of the log.
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

// Holds is an immutable set of the holds in force. The nil value has none.
type Holds struct {
	holds map[Scope]*wire.Hold
}

// NewHolds makes a set for tests and tools.
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

// Held reports whether a version gets no new work of an organisation.
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

// MaxDigestHolds bounds the holds in one message to a peer; a reader of the log knows
// them all.
const MaxDigestHolds = 64

// Logged lists the holds that stand on the log, for peers.
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
