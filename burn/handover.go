package burn

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxHandovers is how many handovers of other processes are retained. A further one replaces
	// the one received first.
	maxHandovers = 64
	// maxHandoverBytes limits the decompressed size of one handover.
	maxHandoverBytes = 32 << 20
)

// Handover holds the counts of one incarnation of a process, which it hands over to another process
// at a planned stop. Ages are relative to the handover, so that clocks of different processes are
// never compared.
type Handover struct {
	VM            string                  `json:"vm"`
	Epoch         uint64                  `json:"epoch,string"`
	CoveredMillis int64                   `json:"covered-millis"`
	Rings         map[string][]AgedBucket `json:"rings"`
}

// AgedBucket is one bucket of counts.
type AgedBucket struct {
	// AgeMillis is the time from the start of the bucket to the handover.
	AgeMillis int64 `json:"age-millis"`
	Rows      []Row `json:"rows"`
}

// inherited is a handover and the time it was received, on this process's clock.
type inherited struct {
	handover   Handover
	receivedAt clock.Millis
}

func (h Handover) sameIncarnation(o Handover) bool { return h.VM == o.VM && h.Epoch == o.Epoch }

// Handovers returns the counts of this process and those it has inherited, for the process that
// takes them over. VM and epoch identify this incarnation.
func (r *Recorder) Handovers(vm string, epoch uint64) (handovers []Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	own := Handover{VM: vm, Epoch: epoch, CoveredMillis: int64(now - r.startedAt), Rings: make(map[string][]AgedBucket)}
	for i, w := range Windows() {
		for _, b := range r.rings[i] {
			sums := make(map[Key]Counts, len(b.counts))
			for k, counts := range b.counts {
				sums[k] = *counts
			}
			own.Rings[w.Name] = append(own.Rings[w.Name], AgedBucket{AgeMillis: int64(now - b.start), Rows: rowsOf(sums)})
		}
	}
	handovers = append(handovers, own)
	for _, x := range r.inherited {
		handovers = append(handovers, x.aged(now))
	}
	return handovers
}

// aged returns the handover with its ages as of a later time, without buckets that have left their
// window.
func (x inherited) aged(now clock.Millis) Handover {
	out := x.handover
	out.Rings = make(map[string][]AgedBucket, len(x.handover.Rings))
	for _, w := range Windows() {
		for _, b := range x.handover.Rings[w.Name] {
			b.AgeMillis += int64(now - x.receivedAt)
			if b.AgeMillis < int64(w.Duration) {
				out.Rings[w.Name] = append(out.Rings[w.Name], b)
			}
		}
	}
	return out
}

// Inherit adds the counts of another process. Of two handovers of one incarnation the later one
// counts, so a handover may be repeated.
func (r *Recorder) Inherit(h Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.inherited, func(x inherited) bool { return x.handover.sameIncarnation(h) })
	switch {
	case i >= 0 && r.inherited[i].handover.CoveredMillis >= h.CoveredMillis:
		return
	case i >= 0:
		r.inherited = slices.Delete(r.inherited, i, i+1)
	case len(r.inherited) >= maxHandovers:
		r.inherited = r.inherited[1:]
	}
	r.inherited = append(r.inherited, inherited{handover: h, receivedAt: r.now()})
}

// inheritedReports returns a report of each inherited handover.
func (r *Recorder) inheritedReports(now clock.Millis) (out []*Report) {
	for _, x := range r.inherited {
		h := x.aged(now)
		report := &Report{VM: h.VM, Epoch: h.Epoch, CoveredMillis: h.CoveredMillis, Revision: -1, Windows: make(map[string][]Row)}
		for name, ring := range h.Rings {
			sums := make(map[Key]Counts)
			for _, b := range ring {
				for _, row := range b.Rows {
					counts := sums[row.Key]
					counts.Add(row.Counts)
					sums[row.Key] = counts
				}
			}
			report.Windows[name] = rowsOf(sums)
		}
		out = append(out, report)
	}
	slices.SortFunc(out, func(a, b *Report) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Epoch, b.Epoch)) })
	return out
}

// Encode encodes a handover for the wire, as compressed JSON.
func (h Handover) Encode() (data []byte, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "encode handover of %s", h.VM)
		}
	}()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err = json.NewEncoder(z).Encode(h); err != nil {
		return nil, err
	}
	err = z.Close()
	return b.Bytes(), err
}

// DecodeHandover decodes what Encode returned. Its error is ErrMalformed.
func DecodeHandover(data []byte) (h Handover, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "decode handover")
		}
	}()
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return h, err
	}
	err = json.NewDecoder(io.LimitReader(z, maxHandoverBytes)).Decode(&h)
	return h, err
}
