package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
)

// maxReplyBytes limits the size of a reply of the platform.
const maxReplyBytes = 64 << 20

// HTTP is the adapter for a platform that uses JSON over HTTP. It is safe for concurrent use.
type HTTP struct {
	base   string
	client *http.Client
	// onInvalidVMs is called for each VM list that was read.
	onInvalidVMs func(n int, err error)
}

// NewHTTP returns an adapter for a base URL such as "http://10.0.0.1:7000".
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: base, client: client, onInvalidVMs: func(int, error) {}}
}

// OnInvalidVMs sets a function that is called for each VM list that was read, with the number of its entries that cannot be
// used and the reason for the last one. It must be called before the list is read.
func (h *HTTP) OnInvalidVMs(f func(n int, err error)) { h.onInvalidVMs = f }

// Log returns the client of the log.
func (h *HTTP) Log() Log {
	return Log{Append: h.append, Read: h.read}
}

// VMList returns the client of the VM list. Entries that cannot be decoded are left out.
func (h *HTTP) VMList() VMList {
	return VMList{List: func(ctx context.Context) (vms []VM, err error) {
		var entries []json.RawMessage
		if err = h.call(ctx, http.MethodGet, "/vms", nil, &entries); err != nil {
			return nil, err
		}
		vms, invalid, reason := decodeVMs(entries)
		h.onInvalidVMs(invalid, reason)
		return vms, nil
	}}
}

// decodeVMs returns the VMs of a list, and how many of its entries are invalid.
func decodeVMs(entries []json.RawMessage) (vms []VM, invalid int, reason error) {
	for _, data := range entries {
		var vm VM
		if err := json.Unmarshal(data, &vm); err != nil {
			invalid, reason = invalid+1, err
			continue
		}
		vms = append(vms, vm)
	}
	return vms, invalid, reason
}

// WeightStore returns the client of the weight store.
func (h *HTTP) WeightStore() WeightStore {
	return WeightStore{Fetch: func(ctx context.Context, version string) error {
		return h.call(ctx, http.MethodPost, "/weights/"+url.PathEscape(version), nil, nil)
	}}
}

type scoreReply struct {
	Score float64 `json:"score"`
}

type ratingsReply struct {
	Ratings []Rating `json:"ratings"`
	Next    int64    `json:"next"`
}

// Rater returns the client of the rater.
func (h *HTTP) Rater() Rater {
	return Rater{
		Judge: func(ctx context.Context, s Sample) (score float64, err error) {
			var reply scoreReply
			err = h.callJSON(ctx, "/judge", s, &reply)
			return reply.Score, err
		},
		Submit: func(ctx context.Context, s Sample) error {
			return h.callJSON(ctx, "/samples", s, nil)
		},
		Ratings: func(ctx context.Context, from int64) (ratings []Rating, next int64, err error) {
			var reply ratingsReply
			err = h.call(ctx, http.MethodGet, "/ratings?from="+strconv.FormatInt(from, 10), nil, &reply)
			return reply.Ratings, reply.Next, err
		},
	}
}

type appendReply struct {
	// Offset is nil if the reply has none.
	Offset *int64 `json:"offset"`
}

func (h *HTTP) append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	var reply appendReply
	err = h.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), data, &reply)
	if err != nil {
		return 0, err
	}
	if reply.Offset == nil {
		return 0, ErrUnknown.New("append to %s: the answer tells no offset", stream)
	}
	return *reply.Offset, nil
}

func (h *HTTP) read(ctx context.Context, stream string, from int64, wait clock.Millis) (p Page, err error) {
	path := fmt.Sprintf("/streams/%s?from=%d&wait=%d", url.PathEscape(stream), from, int64(wait))
	err = h.call(ctx, http.MethodGet, path, nil, &p)
	return p, err
}

func (h *HTTP) callJSON(ctx context.Context, path string, body, reply any) (err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return ErrUnavailable.Wrap(err, "encode %s", path)
	}
	return h.call(ctx, http.MethodPost, path, data, reply)
}

// call sends one request and decodes the reply. Only a failed dial and an explicit refusal by the platform
// prove that the call had no effect; after every other failure the effect is unknown.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, reply any) (err error) {
	defer func() {
		if err != nil && !Errors.IsNamespaceOf(errorType(err)) {
			err = ErrUnknown.Wrap(err, "%s %s", method, path)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	resp, err := h.client.Do(req)
	if isDialError(err) {
		return ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may have gone silent for good, and with it those that were open then.
		h.client.CloseIdleConnections()
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
	case http.StatusTooManyRequests:
		return ErrBusy.New("%s %s: rate limit", method, path)
	case http.StatusGone:
		return ErrExpired.New("%s %s: records no longer kept", method, path)
	case http.StatusServiceUnavailable:
		return ErrUnavailable.New("%s %s: out of service", method, path)
	default:
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(reply)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
