package answer

import (
	"context"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// StoreLimits bound what is kept.
type StoreLimits struct {
	// MaxAnswers and Bytes bound all answers together, One the bytes of a single
	// one. Beyond them the oldest finished answer falls out first.
	MaxAnswers     int
	MaxBytes       int
	MaxAnswerBytes int
	// Retention is how long a finished answer is kept.
	Retention clock.Millis
}

// Owner says whose answer it is and under which key it can be asked for again.
type Owner struct {
	Request      string
	Organisation string
	// Key is the caller's idempotency key, or empty.
	Key string
}

type ownerKey struct {
	organisation string
	key          string
}

// Store keeps answers while they are made and for a time after, so that a
// caller whose entry vanished gets the whole answer on its retry.
type Store struct {
	mu     sync.Mutex
	limits StoreLimits
	// byRequest and byKey hold the same answers; order lists them by start and
	// has at most limits.Answers.
	byRequest map[string]*Retained
	byKey     map[ownerKey]*Retained
	order     []*Retained
	bytes     int
}

// Retained is one answer being kept.
type Retained struct {
	keeping *Store
	owner   Owner
	pieces  pack
	bytes   int
	// ended is when the last piece came; it counts once done is true.
	ended clock.Millis
	done  bool
	// lost is true once the answer is not kept any more.
	lost bool
	// grown is closed and replaced when a piece is added or the answer ends.
	grown chan struct{}
}

// NewStore makes an empty keeping.
func NewStore(l StoreLimits) *Store {
	return &Store{limits: l, byRequest: make(map[string]*Retained), byKey: make(map[ownerKey]*Retained)}
}

// Start begins to keep an answer.
func (k *Store) Start(o Owner) *Retained {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &Retained{keeping: k, owner: o, grown: make(chan struct{})}
	k.byRequest[o.Request] = a
	if o.Key != "" {
		k.byKey[ownerKey{o.Organisation, o.Key}] = a
	}
	k.order = append(k.order, a)
	k.trim()
	return a
}

// Find returns the answer of a request, or of an organisation's key. An answer
// is found only by the organisation it belongs to.
func (k *Store) Find(o Owner) (a *Retained, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, ok = k.byRequest[o.Request]
	if !ok && o.Key != "" {
		a, ok = k.byKey[ownerKey{o.Organisation, o.Key}]
	}
	if !ok || a.lost || a.owner.Organisation != o.Organisation {
		return nil, false
	}
	return a, true
}

// Expire drops answers that have been kept long enough.
func (k *Store) Expire(now clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := 0; i < len(k.order); {
		a := k.order[i]
		if a.done && now-a.ended > k.limits.Retention {
			k.drop(i)
			continue
		}
		i++
	}
}

// Size returns how many answers are kept and their bytes.
func (k *Store) Size() (answers, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.order), k.bytes
}

// trim drops the oldest finished answers, and unfinished ones only when there is
// no other, until the bounds hold.
func (k *Store) trim() {
	for len(k.order) > k.limits.MaxAnswers || k.bytes > k.limits.MaxBytes {
		oldest := 0
		for i, a := range k.order {
			if a.done {
				oldest = i
				break
			}
		}
		k.drop(oldest)
	}
}

func (k *Store) drop(i int) {
	a := k.order[i]
	k.order = append(k.order[:i], k.order[i+1:]...)
	k.bytes -= a.bytes
	a.lost = true
	a.pieces = pack{}
	a.wake()
	if k.byRequest[a.owner.Request] == a {
		delete(k.byRequest, a.owner.Request)
	}
	name := ownerKey{a.owner.Organisation, a.owner.Key}
	if k.byKey[name] == a {
		delete(k.byKey, name)
	}
}

// Add keeps a copy of the next piece.
func (a *Retained) Add(p *wire.Piece) {
	k := a.keeping
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.lost {
		return
	}
	n := a.pieces.add(p)
	a.bytes += n
	k.bytes += n
	a.wake()
	if a.bytes > k.limits.MaxAnswerBytes {
		k.dropAnswer(a)
		return
	}
	k.trim()
}

func (k *Store) dropAnswer(a *Retained) {
	for i, o := range k.order {
		if o == a {
			k.drop(i)
			return
		}
	}
}

// End tells that the answer has all its pieces.
func (a *Retained) End(now clock.Millis) {
	k := a.keeping
	k.mu.Lock()
	defer k.mu.Unlock()
	a.done = true
	a.ended = now
	a.wake()
}

// Drop forgets an answer that will not be whole; whoever follows it hears that
// it is not kept.
func (a *Retained) Drop() {
	a.keeping.mu.Lock()
	defer a.keeping.mu.Unlock()
	a.keeping.dropAnswer(a)
}

func (a *Retained) wake() {
	close(a.grown)
	a.grown = make(chan struct{})
}

// Replay hands on the pieces from a number on, waiting for those to come until the
// answer ends. It fails when the answer falls out before its end.
func (a *Retained) Replay(ctx context.Context, number uint32, emit func(*wire.Piece) error) (err error) {
	for {
		p, grown, err := a.piece(number)
		if err != nil {
			return err
		}
		if p != nil {
			if err = emit(p); err != nil || p.GetLast() {
				return err
			}
			number++
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-grown:
		}
	}
}

func (a *Retained) piece(number uint32) (p *wire.Piece, grown chan struct{}, err error) {
	a.keeping.mu.Lock()
	defer a.keeping.mu.Unlock()
	if a.lost {
		return nil, nil, ErrNotKept.New("the answer is no longer kept")
	}
	if int(number) < a.pieces.size() {
		return a.pieces.piece(number), nil, nil
	}
	if a.done {
		return nil, nil, ErrNotKept.New("the answer ended at piece %d", a.pieces.size())
	}
	return nil, a.grown, nil
}
