package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// copyBufferBytes is the size of the buffers for bodies. A response body that fits
// in one is read completely before the header is sent, so that a truncated one is
// still answered with a code.
const copyBufferBytes = 32 << 10

// firstBytes is the part of a longer body that is read before the header is sent. net/http keeps about as much before
// it sends the header, so that a cut within it would leave the caller without any response.
const firstBytes = 4 << 10

// relay sends the server's response to the caller. If the response is incomplete,
// the caller's connection is aborted, so that a truncated body is never taken for a
// complete one.
func (c *call) relay(a *attempt) {
	c.startResponse()
	src := newBodySource(c, a)
	defer src.close()
	buf, _ := c.g.buffers.Get().(*[copyBufferBytes]byte)
	defer c.g.buffers.Put(buf)
	h := c.w.Header()
	if !c.bodyExpected(a) {
		c.relayHeader(h, a)
		c.g.extendWriteDeadline(c.w)
		c.w.WriteHeader(a.resp.StatusCode)
		c.logResult(a, 0)
		return
	}
	switch n := a.resp.ContentLength; {
	case n >= 0 && n <= copyBufferBytes:
		c.relayBuffered(h, a, src, buf[:n])
	case n < 0 && !c.r.ProtoAtLeast(1, 1):
		c.relayWhole(h, a, src, buf)
	default:
		c.relayStreamed(h, a, src, buf[:])
	}
}

// relayStreamed sends a response while its body is received. If it has a length, the header waits for the
// first bytes of the body: until then, the caller can get a response with a code.
func (c *call) relayStreamed(h http.Header, a *attempt, src *bodySource, buf []byte) {
	first, stream := 0, a.resp.ContentLength < 0
	if !stream {
		var err error
		if first, err = io.ReadAtLeast(src, buf, firstBytes); err != nil {
			c.refuse(c.brokenRefusal(src.attempt))
			return
		}
	}
	c.openEnded = stream
	c.relayHeader(h, a)
	c.g.extendWriteDeadline(c.w)
	c.w.WriteHeader(a.resp.StatusCode)
	n, err := c.copyBody(src, buf, first, stream)
	if err != nil {
		c.abortResponse(a, n, err)
	}
	for name, values := range a.resp.Trailer {
		if !header.HopByHop(name) {
			h[http.TrailerPrefix+name] = values
		}
	}
	c.logResult(src.attempt, n)
}

// relayBuffered reads a small response completely before it is sent.
func (c *call) relayBuffered(h http.Header, a *attempt, src *bodySource, buf []byte) {
	timer := time.AfterFunc(c.bufferedLimit(time.Now()), src.expire)
	_, err := io.ReadFull(src, buf)
	timer.Stop()
	if err != nil {
		c.refuse(c.brokenRefusal(src.attempt))
		return
	}
	c.relayHeader(h, a)
	c.g.extendWriteDeadline(c.w)
	c.w.WriteHeader(a.resp.StatusCode)
	_, _ = c.w.Write(buf)
	c.logResult(src.attempt, int64(len(buf)))
}

// bufferedGrace is the time after the deadline in which a small response whose header came
// in time may be completed.
const bufferedGrace = 250 * time.Millisecond

// bufferedLimit returns how long the body of a small response may take, of which the caller
// has received nothing yet.
func (c *call) bufferedLimit(now time.Time) time.Duration {
	if c.unboundedUpload() {
		return c.match.deadline + bufferedGrace
	}
	return max(c.deadline.Sub(now), 0) + bufferedGrace
}

// relayHeader copies the response header.
func (c *call) relayHeader(h http.Header, a *attempt) {
	header.CopyEndToEnd(h, a.resp.Header)
	own := [...]string{mustardsaddle.Ran.String(), a.id}
	h[header.Outcome], h[header.Attempt] = own[:1:1], own[1:]
	if c.g.stopping() {
		h["Connection"] = []string{"close"}
	}
	if names := header.TrailerNames(a.resp.Trailer); len(names) > 0 {
		list := make([]string, 0, len(names))
		for name := range names {
			list = append(list, name)
		}
		h["Trailer"] = []string{strings.Join(list, ", ")}
	}
}

// bodyExpected reports whether the response can have a body.
func (c *call) bodyExpected(a *attempt) bool {
	status := a.resp.StatusCode
	return c.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody copies the body through one buffer, which holds its first bytes, and flushes after each
// write if it is a stream.
func (c *call) copyBody(src *bodySource, buf []byte, first int, stream bool) (int64, error) {
	rc := http.NewResponseController(c.w)
	if stream {
		_ = rc.Flush()
	}
	var total int64
	for n, err := first, error(nil); ; n, err = src.Read(buf) {
		c.g.extendWriteDeadline(c.w)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return total, werr
			}
			total += int64(n)
			if stream {
				_ = rc.Flush()
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		c.suspendWriteDeadline()
	}
}

// suspendWriteDeadline ends the write deadline while nothing is written. On HTTP/2 it would reset the stream.
func (c *call) suspendWriteDeadline() {
	if c.r.ProtoMajor > 1 {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
	}
}

// abortResponse aborts a response that could not be relayed completely. It does not
// return.
func (c *call) abortResponse(a *attempt, n int64, err error) {
	c.match.controller.Metrics.Truncated.Inc(1)
	c.countOutcome(mustardsaddle.Ran)
	c.g.withRequestID(event.Warn(c.g.cfg.Logger, event.CallCut), c.r).Str("Attempt", a.id).Str("Service", c.match.controller.Service).
		Str(a.target()).Int("Code", int(code.CallBroken)).Int64("Bytes", n).Err(err).Send()
	panic(http.ErrAbortHandler)
}
