package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
)

// ErrCache marks a cache that could not be exported or imported.
var ErrCache = Errors.NewType("cache")

// Export returns the KV cache that the engine has of a session on a version, in
// the engine's own form. The caller closes it.
func (e *Engine) Export(ctx context.Context, session, version string) (body io.ReadCloser, err error) {
	resp, err := e.cache(ctx, http.MethodGet, session, version, nil)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// Import gives the engine a session's KV cache. An engine takes it only when the
// body ends in order.
func (e *Engine) Import(ctx context.Context, session, version string, body io.Reader) (err error) {
	resp, err := e.cache(ctx, http.MethodPut, session, version, body)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (e *Engine) cache(ctx context.Context, method, session, version string, body io.Reader) (resp *http.Response, err error) {
	defer func() {
		if err != nil {
			err = ErrCache.Wrap(err, "%s cache", method)
		}
	}()
	target := e.base + "/kv/" + url.PathEscape(session) + "?version=" + url.QueryEscape(version)
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	resp, err = e.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		_ = resp.Body.Close()
		return nil, ErrCache.New("engine answered status %d", resp.StatusCode)
	}
	return resp, nil
}
