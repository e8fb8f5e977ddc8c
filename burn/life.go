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
	// maxLives bounds the lives of other processes kept; the one taken first
	// falls out.
	maxLives = 64
	// maxLifeBytes bounds what is unpacked of one hand-over.
	maxLifeBytes = 32 << 20
)

// Handover is what one life of a process counted, as it is handed on at a planned
// stop. Ages are spans before the hand-over, so that no two clocks are compared.
type Handover struct {
	VM            string                  `json:"vm"`
	Epoch         uint64                  `json:"epoch,string"`
	CoveredMillis int64                   `json:"covered-millis"`
	Rings         map[string][]AgedBucket `json:"rings"`
}

// AgedBucket is one bucket.
type AgedBucket struct {
	// AgeMillis is how long before the hand-over the bucket began.
	AgeMillis int64 `json:"age-millis"`
	Rows      []Row `json:"rows"`
}

// inherited is a life and when it was taken, on this process's clock.
type inherited struct {
	life Handover
	at   clock.Millis
}

func (l Handover) same(o Handover) bool { return l.VM == o.VM && l.Epoch == o.Epoch }

// Handovers returns this process's own life and those it has taken from others, for
// whoever takes them over.
func (r *Recorder) Handovers(vm string, epoch uint64) (lives []Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	own := Handover{VM: vm, Epoch: epoch, CoveredMillis: int64(now - r.startedAt), Rings: make(map[string][]AgedBucket)}
	for i, w := range Windows() {
		for _, b := range r.rings[i] {
			sums := make(map[Key]Counts, len(b.tallies))
			for k, t := range b.tallies {
				sums[k] = *t
			}
			own.Rings[w.Name] = append(own.Rings[w.Name], AgedBucket{AgeMillis: int64(now - b.start), Rows: rowsOf(sums)})
		}
	}
	lives = append(lives, own)
	for _, x := range r.inherited {
		lives = append(lives, x.aged(now))
	}
	return lives
}

// aged returns the life as of a later instant.
func (x inherited) aged(now clock.Millis) Handover {
	out := x.life
	out.Rings = make(map[string][]AgedBucket, len(x.life.Rings))
	for _, w := range Windows() {
		for _, b := range x.life.Rings[w.Name] {
			b.AgeMillis += int64(now - x.at)
			if b.AgeMillis < int64(w.Duration) {
				out.Rings[w.Name] = append(out.Rings[w.Name], b)
			}
		}
	}
	return out
}

// Inherit takes over the life of another process. Of two hand-overs of one life
// the later counts, so a repeated one does no harm.
func (r *Recorder) Inherit(l Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.inherited, func(x inherited) bool { return x.life.same(l) })
	switch {
	case i >= 0 && r.inherited[i].life.CoveredMillis >= l.CoveredMillis:
		return
	case i >= 0:
		r.inherited = slices.Delete(r.inherited, i, i+1)
	case len(r.inherited) >= maxLives:
		r.inherited = r.inherited[1:]
	}
	r.inherited = append(r.inherited, inherited{life: l, at: r.now()})
}

// reports makes a report of each life taken over.
func (r *Recorder) reports(now clock.Millis) (out []*Report) {
	for _, x := range r.inherited {
		l := x.aged(now)
		report := &Report{VM: l.VM, Epoch: l.Epoch, CoveredMillis: l.CoveredMillis, Revision: -1, Windows: make(map[string][]Row)}
		for name, ring := range l.Rings {
			sums := make(map[Key]Counts)
			for _, b := range ring {
				for _, row := range b.Rows {
					t := sums[row.Key]
					t.Add(row.Counts)
					sums[row.Key] = t
				}
			}
			report.Windows[name] = rowsOf(sums)
		}
		out = append(out, report)
	}
	slices.SortFunc(out, func(a, b *Report) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Epoch, b.Epoch)) })
	return out
}

// Encode writes a life for the wire.
func (l Handover) Encode() (data []byte, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "pack life of %s", l.VM)
		}
	}()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err = json.NewEncoder(z).Encode(l); err != nil {
		return nil, err
	}
	err = z.Close()
	return b.Bytes(), err
}

// DecodeHandover reads what Pack wrote.
func DecodeHandover(data []byte) (l Handover, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "unpack life")
		}
	}()
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return l, err
	}
	err = json.NewDecoder(io.LimitReader(z, maxLifeBytes)).Decode(&l)
	return l, err
}
