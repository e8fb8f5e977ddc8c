package answer

import (
	"context"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// StoreLimits bounds the retained answers.
type StoreLimits struct {
	// MaxAnswers and MaxBytes bound all answers together; beyond them the oldest finished answer is
	// evicted first. An answer of more than MaxAnswerBytes is dropped.
	MaxAnswers     int
	MaxBytes       int
	MaxAnswerBytes int
	// Retention is how long a finished answer is retained, in milliseconds.
	Retention clock.Millis
}

// Owner identifies the request and organisation of an answer and the key to find it by.
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

// Store retains answers while they are produced and for some time afterwards, so that a caller
// whose entry failed gets the complete answer on its retry. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	limits StoreLimits
	// byRequest and byKey index the answers in order, which has the oldest first and at most
	// limits.MaxAnswers of them.
	byRequest map[string]*Retained
	byKey     map[ownerKey]*Retained
	order     []*Retained
	bytes     int
}

// Retained is one answer of a Store. It is safe for concurrent use.
type Retained struct {
	store  *Store
	owner  Owner
	pieces packedPieces
	bytes  int
	// endedAt is when the answer ended; it is valid once done is true.
	endedAt clock.Millis
	done    bool
	// evicted is true once the answer is no longer retained.
	evicted bool
	// changed is closed and replaced when a piece is added or the answer ends or is dropped.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore(l StoreLimits) *Store {
	return &Store{limits: l, byRequest: make(map[string]*Retained), byKey: make(map[ownerKey]*Retained)}
}

// Start adds an answer that has no pieces yet. It may evict older ones.
func (s *Store) Start(o Owner) *Retained {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Retained{store: s, owner: o, changed: make(chan struct{})}
	s.byRequest[o.Request] = a
	if o.Key != "" {
		s.byKey[ownerKey{o.Organisation, o.Key}] = a
	}
	s.order = append(s.order, a)
	s.trim()
	return a
}

// Find returns the answer with the owner's request ID or, if there is none, with its idempotency
// key. It finds only answers of the owner's organisation.
func (s *Store) Find(o Owner) (a *Retained, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok = s.byRequest[o.Request]
	if !ok && o.Key != "" {
		a, ok = s.byKey[ownerKey{o.Organisation, o.Key}]
	}
	if !ok || a.evicted || a.owner.Organisation != o.Organisation {
		return nil, false
	}
	return a, true
}

// Expire drops finished answers that are older than the retention.
func (s *Store) Expire(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.order); {
		a := s.order[i]
		if a.done && now-a.endedAt > s.limits.Retention {
			s.drop(i)
			continue
		}
		i++
	}
}

// Size returns the number of retained answers and their approximate bytes.
func (s *Store) Size() (answers, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.order), s.bytes
}

// trim drops the oldest finished answers until the limits hold, and the oldest unfinished one if no
// answer is finished.
func (s *Store) trim() {
	for len(s.order) > s.limits.MaxAnswers || s.bytes > s.limits.MaxBytes {
		oldest := 0
		for i, a := range s.order {
			if a.done {
				oldest = i
				break
			}
		}
		s.drop(oldest)
	}
}

func (s *Store) drop(i int) {
	a := s.order[i]
	s.order = append(s.order[:i], s.order[i+1:]...)
	s.bytes -= a.bytes
	a.evicted = true
	a.pieces = packedPieces{}
	a.notify()
	if s.byRequest[a.owner.Request] == a {
		delete(s.byRequest, a.owner.Request)
	}
	id := ownerKey{a.owner.Organisation, a.owner.Key}
	if s.byKey[id] == a {
		delete(s.byKey, id)
	}
}

// Add appends a copy of the next piece. It does nothing once the answer is dropped.
func (a *Retained) Add(p *wire.Piece) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.evicted {
		return
	}
	n := a.pieces.add(p)
	a.bytes += n
	s.bytes += n
	a.notify()
	if a.bytes > s.limits.MaxAnswerBytes {
		s.dropAnswer(a)
		return
	}
	s.trim()
}

func (s *Store) dropAnswer(a *Retained) {
	for i, o := range s.order {
		if o == a {
			s.drop(i)
			return
		}
	}
}

// End marks the answer as finished: it has all its pieces.
func (a *Retained) End(now clock.Millis) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	a.done = true
	a.endedAt = now
	a.notify()
}

// Drop removes an answer that will not be complete. Replay then fails with ErrNotKept.
func (a *Retained) Drop() {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.store.dropAnswer(a)
}

func (a *Retained) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Replay passes the piece with the given number and all later ones to emit, and waits for new
// pieces until the last one. It fails with ErrNotKept if the answer is dropped before that, or
// ended without a last piece.
func (a *Retained) Replay(ctx context.Context, number uint32, emit func(*wire.Piece) error) (err error) {
	for {
		p, changed, err := a.piece(number)
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
		case <-changed:
		}
	}
}

func (a *Retained) piece(number uint32) (p *wire.Piece, changed chan struct{}, err error) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if a.evicted {
		return nil, nil, ErrNotKept.New("the answer is no longer kept")
	}
	if int(number) < a.pieces.size() {
		return a.pieces.piece(number), nil, nil
	}
	if a.done {
		return nil, nil, ErrNotKept.New("the answer ended at piece %d", a.pieces.size())
	}
	return nil, a.changed, nil
}
