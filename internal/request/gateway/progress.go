package gateway

import (
	"errors"
	"net/http"
	"net/textproto"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// uploadProgress restarts the progress timeout of the caller's body. Unless the deadline bounds
// the upload, it does not run meanwhile.
func (c *call) uploadProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseStarted {
		return
	}
	if !c.match.bounded {
		c.timer.Reset(c.g.cfg.ProgressTimeout)
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(c.g.cfg.ProgressTimeout))
}

// uploadDone starts the deadline for the response header, unless it has run since the begin of
// the call.
func (c *call) uploadDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseStarted {
		return
	}
	if !c.match.bounded {
		c.timer.Reset(c.match.deadline)
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
}

// informationalLimit returns the time until which an informational response may be written. A write that
// fails leaves the connection without a response.
func (c *call) informationalLimit(now time.Time) time.Time {
	if c.unboundedUpload() {
		return now.Add(c.g.cfg.ProgressTimeout)
	}
	return c.deadline
}

// maxInformational is the maximum number of 1xx responses to one call.
const maxInformational = 16

// errInformational is the error of an attempt whose server sends too many 1xx responses.
var errInformational = errors.New("wait for response header: too many 1xx responses")

// relayInformational relays a 1xx response. 100 Continue is skipped: net/http sends
// it itself when the caller's body is read. The error ends the attempt: http.Transport does
// not bound the number of 1xx responses that are relayed.
func (c *call) relayInformational(status int, fields textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informational++
	if c.informational > maxInformational {
		return errInformational
	}
	now := time.Now()
	limit := c.informationalLimit(now)
	if c.responseStarted || status == http.StatusContinue || !c.r.ProtoAtLeast(1, 1) || !now.Before(limit) {
		return nil
	}
	h := c.w.Header()
	header.CopyEndToEnd(h, http.Header(fields))
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(limit)
	c.w.WriteHeader(status)
	// The deadline of this write must not end the final response, nor on HTTP/2 the stream before it.
	_ = rc.SetWriteDeadline(time.Time{})
	for name := range fields {
		delete(h, name)
	}
	return nil
}
