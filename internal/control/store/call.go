package store

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Kind is the kind of a call, which determines the rate limit that applies to it.
type Kind string

// Kinds of calls.
const (
	Reading  Kind = "read"
	Watching Kind = "watch"
	Writing  Kind = "write"
)

// Request is one call to the platform.
type Request struct {
	// Kind is the kind of the call.
	Kind Kind
	// Method is the HTTP method; empty means PUT for a write and GET otherwise.
	Method string
	// Path is the URL path with the query string.
	Path string
	// Header holds the headers sent in addition to those that net/http sets.
	Header http.Header
	// Body is the request body.
	Body []byte
	// Wait is how long the platform may hold the request open before it responds. It
	// extends the client's timeout.
	Wait time.Duration
	// MaxBytes is the maximum size of the response body; 0 means MaxValueBytes.
	MaxBytes int
	// Check converts an HTTP status to an error; nil means checkStatus. Errors with
	// code.StoreUnavailable or code.StoreRefused count as failures for the circuit
	// breaker.
	Check func(q Request, status int) error
}

// Response is a response of the platform with its whole body.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is the response header.
	Header http.Header
	// Body is the response body.
	Body []byte
}

// Call sends a request if the budget and the circuit breaker allow it. It is exported for
// clients of platforms whose paths and encodings differ from those of this client.
func (c *Client) Call(ctx context.Context, q Request) (Response, error) {
	if q.Check == nil {
		q.Check = checkStatus
	}
	q.MaxBytes = cmp.Or(q.MaxBytes, MaxValueBytes)
	if q.Method == "" {
		q.Method = http.MethodGet
		if q.Kind == Writing {
			q.Method = http.MethodPut
		}
	}
	if err := c.admit(time.Now(), q.Kind); err != nil {
		return Response{}, err
	}
	limited, timer, end := startCallTimer(ctx, c.cfg.Timeout+q.Wait, c.cfg.Timeout)
	defer end()
	resp, err := c.send(limited, q, timer)
	if err == nil {
		err = q.Check(q, resp.Status)
	} else if ctx.Err() == nil {
		// Other pooled connections may have stopped responding for the same reason.
		c.http.CloseIdleConnections()
	}
	c.finish(time.Now(), err, ctx.Err() != nil, len(resp.Body), len(q.Body))
	return resp, err
}

// send sends a request. The timer ends the context, unless the body of the response arrives.
func (c *Client) send(ctx context.Context, q Request, timer *callTimer) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.Method, c.cfg.URL+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return Response{}, code.Wrapf(code.StoreRefused, err, "%s %s", q.Method, q.Path)
	}
	// Without GetBody, the transport does not retry the request on another connection.
	r.GetBody = nil
	for name, values := range q.Header {
		r.Header[name] = values
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Response{}, code.Wrapf(code.StoreUnavailable, err, "%s %s", q.Method, q.Path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := buffer.ReadLimits{MaxBytes: int64(q.MaxBytes), FreeBytes: freeBodyBytes, Large: c.core.largeBodies}.Read(ctx, timer.body(time.Now(), resp.Body))
	if errors.Is(err, buffer.ErrTooLarge) {
		return Response{}, code.Errorf(code.StoreTooLarge, "%s %s: response is larger than %d bytes", q.Method, q.Path, q.MaxBytes)
	}
	if err != nil {
		return Response{}, code.Wrapf(code.StoreUnavailable, err, "%s %s", q.Method, q.Path)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// checkStatus converts an HTTP status to an error. After a server error it is unknown
// whether a write took effect.
func checkStatus(q Request, status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case q.Kind != Writing && (status == http.StatusNotFound || status == http.StatusNotModified):
		return nil
	case status == http.StatusPreconditionFailed:
		return code.Errorf(code.StoreConflict, "%s %s: the version is not the current one", q.Kind, q.Path)
	case status >= http.StatusInternalServerError:
		return code.Errorf(code.StoreUnavailable, "%s %s: got status %d, want 200", q.Kind, q.Path, status)
	default:
		return code.Errorf(code.StoreRefused, "%s %s: got status %d, want 200", q.Kind, q.Path, status)
	}
}
