package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Flows of the control traffic of an entry.
const (
	flowUpdate  = "update"
	flowQuery   = "query"
	flowReply   = "reply"
	flowCounts  = "counts"
	flowWork    = "work"
	flowBlocks  = "blocks"
	flowCrashes = "crashes"
	flowState   = "state"
	flowStore   = "store"
	flowUnknown = "unknown"
)

const (
	// trafficLogInterval is the interval of the log lines about control traffic.
	trafficLogInterval = 30 * clock.Second
	// datagramOverhead is the size in bytes of the IP and UDP headers of a datagram.
	datagramOverhead = 28
)

// flowTotal is what one flow has sent or received since the start.
type flowTotal struct {
	messages int64
	bytes    int64
	// otherZone is the part of bytes that left the zone.
	otherZone int64
}

type flowKey struct {
	flow string
	sent bool
}

// traffic counts the control traffic of an entry by flow. It is safe for concurrent use.
type traffic struct {
	mu     sync.Mutex
	totals map[flowKey]flowTotal
}

func newTraffic() *traffic { return &traffic{totals: make(map[flowKey]flowTotal)} }

// add counts messages of the same size, of which inZone went to entries of the own zone.
func (t *traffic) add(flow string, sent bool, size, messages, inZone int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := flowKey{flow, sent}
	total := t.totals[k]
	total.messages += int64(messages)
	total.bytes += int64(size * messages)
	total.otherZone += int64(size * max(messages-inZone, 0))
	t.totals[k] = total
}

// flowOf returns the flow that a report belongs to.
func flowOf(r *wire.EntryReport) string {
	switch {
	case r.GetAskParts(), len(r.GetSpeeds()) > 0:
		return flowBlocks
	case r.GetEvidence() != nil:
		return flowCrashes
	case r.GetZone() == "":
		return flowWork
	case len(r.GetPacked()) > 0, len(r.GetRecords()) > 0:
		return flowUpdate
	case r.GetReplyMillis() > 0:
		return flowReply
	case slices.ContainsFunc(r.GetUpgrades(), func(u *wire.UpgradeReport) bool { return len(u.GetCounts()) > 0 }):
		return flowCounts
	case r.GetName() != "":
		return flowQuery
	}
	return flowUnknown
}

// send sends a report and counts it.
func (d *direct) send(r *wire.EntryReport, to []string) (err error) {
	inZone := 0
	if neighbours := d.loop.View().ZoneAddresses(); len(to) == 1 {
		if slices.Contains(neighbours, to[0]) {
			inZone = 1
		}
	} else {
		inZone = min(len(neighbours), len(to))
	}
	d.traffic.add(flowOf(r), true, proto.Size(r)+datagramOverhead, len(to), inZone)
	return d.socket.Send(r, to)
}

// sorted returns the totals in the order of their flows.
func (t *traffic) sorted() (keys []flowKey, totals map[flowKey]flowTotal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals = maps.Clone(t.totals)
	keys = slices.SortedFunc(maps.Keys(totals), func(a, b flowKey) int {
		if c := cmp.Compare(a.flow, b.flow); c != 0 || a.sent == b.sent {
			return c
		}
		if a.sent {
			return -1
		}
		return 1
	})
	return keys, totals
}

func (k flowKey) direction() string {
	if k.sent {
		return "sent"
	}
	return "received"
}

// logTraffic logs the totals until the context ends, also at the end.
func (d *direct) logTraffic(ctx context.Context) {
	for more := true; more; {
		more = clock.Pause(ctx, trafficLogInterval)
		keys, totals := d.traffic.sorted()
		var fields []any
		for _, k := range keys {
			total := totals[k]
			fields = append(fields, k.flow+"-"+k.direction(), fmt.Sprintf("%d/%dB/%dB", total.messages, total.bytes, total.otherZone))
		}
		transfers, referrals := d.bootstrapHandler.Answers()
		fields = append(fields, "states-given", transfers, "referred", referrals)
		d.log.Info("Control traffic since the start", fields...)
	}
}

func (t *traffic) writeMetrics(w io.Writer) {
	keys, totals := t.sorted()
	for _, k := range keys {
		labels := fmt.Sprintf(`{flow=%q,direction=%q}`, k.flow, k.direction())
		fmt.Fprintf(w, "parsleydeal_control_messages_total%s %d\n", labels, totals[k].messages)
		fmt.Fprintf(w, "parsleydeal_control_bytes_total%s %d\n", labels, totals[k].bytes)
		fmt.Fprintf(w, "parsleydeal_control_other_zone_bytes_total%s %d\n", labels, totals[k].otherZone)
	}
}
