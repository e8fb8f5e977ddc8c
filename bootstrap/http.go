package bootstrap

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("bootstrap")

var (
	// ErrNone is returned if no entry gave its state in time.
	ErrNone = Errors.NewType("none")
	// errInvalid is returned for an answer that cannot be read.
	errInvalid = Errors.NewType("invalid")
)

const (
	// statePath is the path of the request for the state.
	statePath = "/site-state"
	// maxHold is how long a request is held until this entry has the state itself.
	maxHold = clock.Second
	// connectTimeout bounds connecting to an entry, and answerTimeout the whole answer.
	connectTimeout = 200 * clock.Millis(1)
	answerTimeout  = 1500 * clock.Millis(1)
	// maxStateBytes bounds an answer.
	maxStateBytes = 4 << 20
	// maxEntryBytes bounds the name, address and zone of an entry that asks, which are remembered.
	maxEntryBytes = 1 << 10
	// maxHeld bounds the requests that are held at the same time.
	maxHeld = 512
)

// HandlerConfig holds the dependencies of a handler.
type HandlerConfig struct {
	Clock clock.Clock
	// Started is closed once this entry has the state, and State returns it.
	Started <-chan struct{}
	State   func(ctx context.Context) (*wire.SiteState, error)
	// Entries returns the entries that are running.
	Entries func(ctx context.Context) (*wire.SiteState, error)
	// OnAnswer is called with the size of each answer in bytes and the zone of the entry that asked.
	OnAnswer func(size int, zone string)
}

// Handler answers other entries' requests for the state of the site.
type Handler struct {
	cfg  HandlerConfig
	mu   sync.Mutex
	desk *Desk
	// held is the number of requests that wait until this entry has the state.
	held int
	// transfers and referrals count the answers with the state and without it.
	transfers int
	referrals int
}

// NewHandler returns a handler that has answered no request.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, desk: NewDesk(cfg.Clock.Now())}
}

// ServeHTTP answers one request. Without the state to give, it answers with status 503 and the
// entries to ask instead.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != statePath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	arrivedAt := h.cfg.Clock.Now()
	query := r.URL.Query()
	e := site.EntryAddress{Name: query.Get("name"), Address: query.Get("address"), Zone: query.Get("zone")}
	if len(e.Name)+len(e.Address)+len(e.Zone) > maxEntryBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if query.Get("only") == "entries" && h.awaitStart(r.Context(), false) {
		if state, err := h.cfg.Entries(r.Context()); err == nil {
			h.write(w, http.StatusOK, state, e)
			return
		}
	}
	if !h.awaitStart(r.Context(), query.Get("hold") != "") {
		h.refer(w, e)
		return
	}
	state, err := h.cfg.State(r.Context())
	if err != nil || !h.admit(e) {
		h.refer(w, e)
		return
	}
	state.HeldMillis = int64(h.cfg.Clock.Since(arrivedAt))
	h.write(w, http.StatusOK, state, e)
}

// awaitStart waits until this entry has the state, and reports whether it has.
func (h *Handler) awaitStart(ctx context.Context, hold bool) bool {
	select {
	case <-h.cfg.Started:
		return true
	default:
	}
	if !hold || !h.addHeld(1) {
		return false
	}
	defer h.addHeld(-1)
	ctx, cancel := context.WithTimeout(ctx, maxHold.Duration())
	defer cancel()
	select {
	case <-h.cfg.Started:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handler) addHeld(n int) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held+n > maxHeld {
		return false
	}
	h.held += n
	return true
}

func (h *Handler) admit(e site.EntryAddress) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok = h.desk.Admit(e, h.cfg.Clock.Now()); ok {
		h.transfers++
	}
	return ok
}

func (h *Handler) refer(w http.ResponseWriter, e site.EntryAddress) {
	h.mu.Lock()
	others := h.desk.Refer(e.Zone)
	h.referrals++
	h.mu.Unlock()
	h.write(w, http.StatusServiceUnavailable, &wire.SiteState{Entries: site.EntriesToWire(others)}, e)
}

func (h *Handler) write(w http.ResponseWriter, status int, state *wire.SiteState, to site.EntryAddress) {
	data, err := proto.Marshal(state)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.cfg.OnAnswer(len(data), to.Zone)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Answers returns the number of answers with the state and without it.
func (h *Handler) Answers() (transfers, referrals int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.transfers, h.referrals
}

// ClientConfig holds the dependencies of a client.
type ClientConfig struct {
	Self  site.EntryAddress
	Clock clock.Clock
	// Apply applies a state that was asked for at sentAt. Its error says why the state cannot be
	// used.
	Apply func(state *wire.SiteState, sentAt clock.Millis) error
	// OnRejected is called for each entry whose state cannot be used.
	OnRejected func(address string, err error)
}

// Client asks other entries for the state of the site.
type Client struct {
	cfg  ClientConfig
	http *http.Client
	// reached is true once an entry has accepted a connection.
	reached atomic.Bool
}

// NewClient returns a client without open connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: &http.Client{Transport: upstream.NewTransport(&http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout.Duration(), KeepAlive: -1}).DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHead,
	})}}
}

// maxAnswerHead bounds the head of an answer, in bytes.
const maxAnswerHead = 64 << 10

// answer is the answer of one entry.
type answer struct {
	address string
	state   *wire.SiteState
	sentAt  clock.Millis
	err     error
}

// Run asks entries until one has given its state. It returns ErrNone if the search fails first.
func (c *Client) Run(ctx context.Context, s *Search) (from string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxAsked)
	for {
		if c.reached.Load() {
			s.Reached()
		}
		e, wait, ok := s.Next(c.cfg.Clock.Now())
		switch {
		case !ok:
			return "", ErrNone.New("no entry gave its state")
		case e.Address != "":
			go func() { answers <- c.ask(ctx, e.Address, !s.Seed()) }()
			continue
		}
		timeout, stop := context.WithTimeout(ctx, max(wait, 1).Duration())
		select {
		case a := <-answers:
			if c.take(s, a) {
				stop()
				return a.address, nil
			}
		case <-timeout.Done():
		}
		stop()
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
}

// take handles an answer and reports whether it brought the state.
func (c *Client) take(s *Search, a answer) bool {
	if a.err == nil && len(a.state.GetPacked()) == 0 {
		others := site.EntriesFromWire(a.state.GetEntries())
		s.Referred(a.address, others[:min(len(others), maxReferrals)], c.cfg.Clock.Now())
		return false
	}
	if a.err == nil {
		if a.err = c.cfg.Apply(a.state, a.sentAt); a.err != nil {
			c.cfg.OnRejected(a.address, a.err)
		}
	}
	if a.err != nil {
		s.Failed(a.address, errors.Is(a.err, syscall.ECONNREFUSED), c.cfg.Clock.Now())
		return false
	}
	return true
}

// Entries asks one entry which entries are running.
func (c *Client) Entries(ctx context.Context, address string) (state *wire.SiteState, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	defer cancel()
	return c.get(ctx, "http://"+address+statePath+"?only=entries&zone="+url.QueryEscape(c.cfg.Self.Zone))
}

func (c *Client) ask(ctx context.Context, address string, hold bool) (a answer) {
	a = answer{address: address, sentAt: c.cfg.Clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	defer cancel()
	query := url.Values{"name": {c.cfg.Self.Name}, "address": {c.cfg.Self.Address}, "zone": {c.cfg.Self.Zone}}
	if hold {
		query.Set("hold", "1")
	}
	a.state, a.err = c.get(ctx, "http://"+address+statePath+"?"+query.Encode())
	return a
}

func (c *Client) get(ctx context.Context, target string) (state *wire.SiteState, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.reached.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		return nil, errInvalid.New("status %d", resp.StatusCode)
	}
	var b bytes.Buffer
	if _, err = io.Copy(&b, io.LimitReader(resp.Body, maxStateBytes+1)); err != nil {
		return nil, err
	}
	if b.Len() > maxStateBytes {
		return nil, errInvalid.New("more than %d bytes", maxStateBytes)
	}
	state = &wire.SiteState{}
	if err = proto.Unmarshal(b.Bytes(), state); err != nil {
		return nil, errInvalid.Wrap(err, "state")
	}
	if resp.StatusCode == http.StatusOK && len(state.GetPacked()) == 0 {
		return nil, errInvalid.New("state is empty")
	}
	return state, nil
}
