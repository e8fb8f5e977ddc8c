package spread

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
)

// Holds reduces how far this process has read the stream of holds. Every process
// reading it from the log would be 690 long polls a second at 1,380 processes,
// and who cannot read the log would go on sending requests to a version that is
// held everywhere else.
//
// Unlike the configuration, holds may be taken with a gap: each stands for
// itself, and those in force are appended again each hour.
type Holds struct {
	now  clock.Millis
	tail Tail
	// fetching is the VM that a fetch is under way from, until fetchUntil.
	fetching   string
	fetchUntil clock.Millis
}

// Tail returns the last records, for peers that are behind.
func (h *Holds) Tail() Tail { return h.tail }

// Reduce takes one event and returns the records that are new here.
func (h *Holds) Reduce(e event.Event, m *membership.Members) (fresh []platform.Record, effects []event.Effect) {
	switch e := e.(type) {
	case event.Tick:
		h.now = e.Now
		if h.now >= h.fetchUntil {
			h.fetching = ""
		}
	case event.LogRead:
		if e.Stream == platform.HoldStream {
			fresh = h.take(e.Page.Records)
		}
	case event.RecordsReceived:
		return h.received(e, m)
	case event.DigestReceived:
		effects = h.fetch(e.Digest.GetVm(), e.Digest.GetHoldOffset(), m)
	case event.PeerFailed:
		if e.VM == h.fetching {
			h.fetching = ""
		}
	}
	return fresh, effects
}

func (h *Holds) take(records []platform.Record) (fresh []platform.Record) {
	for _, r := range records {
		if r.Offset < h.tail.End() {
			continue
		}
		h.tail = h.tail.Add(&wire.Record{Offset: r.Offset, Data: r.Data})
		fresh = append(fresh, r)
	}
	return fresh
}

func (h *Holds) received(e event.RecordsReceived, m *membership.Members) (fresh []platform.Record, effects []event.Effect) {
	if e.Stream != platform.HoldStream || e.From != h.fetching {
		return nil, nil
	}
	h.fetching = ""
	var records []platform.Record
	for _, r := range e.Reply.GetRecords() {
		records = append(records, platform.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	fresh = h.take(records)
	if len(fresh) == 0 {
		return nil, nil
	}
	return fresh, h.fetch(e.From, e.Reply.GetHead(), m)
}

// fetch asks a peer that is further, one at a time; a lost fetch is made good at
// the next digest.
func (h *Holds) fetch(vm string, offset int64, m *membership.Members) (effects []event.Effect) {
	v, ok := m.Find(vm)
	if !ok || offset <= h.tail.End() || h.fetching != "" {
		return nil
	}
	h.fetching = vm
	h.fetchUntil = h.now + fetchTimeout
	from := max(h.tail.End(), 0)
	return []event.Effect{event.FetchRecords{VM: vm, Address: v.Address, From: from, Stream: platform.HoldStream}}
}
