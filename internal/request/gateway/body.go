package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/download"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/upload"
)

// newBody returns the body of the call's request.
func (c *call) newBody() *upload.Body {
	cfg := c.g.cfg
	return upload.New(upload.Config{
		Request: c.r, Connection: http.NewResponseController(c.w), Identity: c.g.newIdentity(c.r, c.match),
		MaxBytes: cfg.MaxBodyBytes, MaxKeptBytes: cfg.MaxReplayBytes, Memory: cfg.Buffers.Requests,
		OnRead: c.uploadProgress, OnEnd: c.uploadDone,
	})
}

// unboundedUpload reports whether the deadline does not bound the time in which the body is received.
func (c *call) unboundedUpload() bool {
	return c.body.Streamed() && !c.match.bounded
}

// keepLimit returns the time until which a body that is kept must have arrived.
func (c *call) keepLimit(now time.Time) time.Time {
	limit := now.Add(c.g.cfg.ProgressTimeout)
	if c.match.bounded && c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// keepBody reads the body into memory if it is small enough to be sent again.
func (c *call) keepBody() *refusal.Refusal {
	if c.body.Keep(c.keepLimit(time.Now())) == nil {
		return nil
	}
	if c.match.bounded && !time.Now().Before(c.deadline) {
		return refusal.NotRun(code.CallDeadline)
	}
	return refusal.NotRun(code.CallBadRequest)
}

// endLimit returns the time until which the end of a response in chunks may wait for something else, which is
// to take no longer than timeout. net/http sends it when the handler returns.
func (c *call) endLimit(now time.Time, timeout time.Duration) time.Time {
	limit, end := now.Add(timeout), c.deadline.Add(download.Grace)
	if c.match.bounded && c.openEnded && end.Before(limit) {
		return end
	}
	return limit
}

// discardTimeout bounds the time in which the rest of a request body is discarded.
const discardTimeout = time.Second

// discardRest sends what is left of the response and discards the rest of the request body. C is the call of the
// request, or nil if it was refused before there was one.
// net/http does the latter after the handler has returned, too, but with full duplex it
// then fails to read the next request and closes the connection. If the time until the limit does not
// suffice, or the rest cannot be read, the connection takes no further request: net/http would keep
// it and read the rest of the body, or what is buffered behind it, as one.
func discardRest(w *responseWriter, r *http.Request, c *call) {
	_ = http.NewResponseController(w).Flush()
	now := time.Now()
	body, limit := upload.New(upload.Config{Request: r, Connection: http.NewResponseController(w)}), now.Add(discardTimeout)
	if c != nil {
		body, limit = c.body, c.endLimit(now, discardTimeout)
	}
	if body.Discard(limit) != nil {
		connection.EndRequests(r)
		closeAfterResponse(w)
	}
}

// closeAfterResponse makes net/http close a connection of HTTP/1 once the response is sent, in a way that does not lose
// the response to what is unread. It has no effect on HTTP/2. Only an exceeded limit of a body makes net/http close the
// sending side first.
func closeAfterResponse(w *responseWriter) {
	_, _ = http.MaxBytesReader(w.ResponseWriter, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
