package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// kind is the kind of a call, which decides what it counts as.
type kind string

const (
	reading  kind = "read"
	watching kind = "watch"
	writing  kind = "write"
)

// request is one call to the platform.
type request struct {
	kind   kind
	path   string
	header http.Header
	value  []byte
}

// answer is a whole answer of the platform.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request, if the budget and the circuit breaker allow it.
func (c *Client) call(ctx context.Context, q request) (answer, error) {
	if err := c.admit(time.Now(), q.kind); err != nil {
		return answer{}, err
	}
	timeout := c.cfg.Timeout
	if q.kind == watching {
		timeout += watchWait
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.send(limited, q)
	if err == nil {
		err = checkStatus(q, a.status)
	} else if ctx.Err() == nil {
		// The other open connections may have gone silent with this one.
		c.http.CloseIdleConnections()
	}
	c.finish(time.Now(), err, ctx.Err() != nil, len(a.body), len(q.value))
	return a, err
}

func (c *Client) send(ctx context.Context, q request) (answer, error) {
	method := http.MethodGet
	if q.kind == writing {
		method = http.MethodPut
	}
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+q.path, bytes.NewReader(q.value))
	if err != nil {
		return answer{}, code.Wrapf(code.StoreRefused, err, "%s %s", method, q.path)
	}
	// Without GetBody the transport does not send a request a second time.
	r.GetBody = nil
	for name, values := range q.header {
		r.Header[name] = values
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return answer{}, code.Wrapf(code.StoreUnavailable, err, "%s %s", method, q.path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return answer{}, code.Wrapf(code.StoreUnavailable, err, "%s %s", method, q.path)
	}
	if len(body) > MaxValueBytes {
		return answer{}, code.Errorf(code.StoreTooLarge, "%s %s: answer is larger than %d bytes", method, q.path, MaxValueBytes)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// checkStatus turns a status into an error. A server error leaves it unknown
// whether a write took effect.
func checkStatus(q request, status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case q.kind != writing && (status == http.StatusNotFound || status == http.StatusNotModified):
		return nil
	case status == http.StatusPreconditionFailed:
		return code.Errorf(code.StoreConflict, "%s %s: the version is not the newest", q.kind, q.path)
	case status >= http.StatusInternalServerError:
		return code.Errorf(code.StoreUnavailable, "%s %s: got status %d, want 200", q.kind, q.path, status)
	default:
		return code.Errorf(code.StoreRefused, "%s %s: got status %d, want 200", q.kind, q.path, status)
	}
}
