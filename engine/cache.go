package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
)

// ErrCache means that a KV cache could not be exported or imported.
var ErrCache = Errors.NewType("cache")

// Export returns the engine's KV cache of a session on a version, in the engine's own format.
// The caller must close the body.
func (e *Engine) Export(ctx context.Context, session, version string) (body io.ReadCloser, err error) {
	resp, err := e.requestCache(ctx, http.MethodGet, session, version, nil)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// Import sends a session's KV cache to the engine. An engine accepts it only if the body ends
// without an error.
func (e *Engine) Import(ctx context.Context, session, version string, body io.Reader) (err error) {
	resp, err := e.requestCache(ctx, http.MethodPut, session, version, body)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (e *Engine) requestCache(ctx context.Context, method, session, version string, body io.Reader) (resp *http.Response, err error) {
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
