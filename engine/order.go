package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
)

// Command is an order to an engine to load or unload a version or to change its role.
type Command struct {
	Kind    string `json:"kind"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number. Engines that check it refuse lower numbers than the highest one
	// they have seen.
	Fence int64 `json:"fence"`
}

// SendOrder sends an order to the engine. ErrFenced, ErrRejected, ErrBusy and ErrNotStarted prove
// that it had no effect; after any other error the order may have had an effect.
func (e *Engine) SendOrder(ctx context.Context, c Command) (err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return ErrRejected.Wrap(err, "write order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return ErrRejected.Wrap(err, "make order")
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody, net/http does not send the order a second time on another connection.
	req.GetBody = nil
	resp, err := e.client.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced.New("engine has seen a newer fencing number than %d", c.Fence)
	}
	return statusError(resp)
}
