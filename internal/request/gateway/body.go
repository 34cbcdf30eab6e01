package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

var (
	errBodyClosed   = errors.New("read request body: attempt has ended")
	errBodyTooLarge = errors.New("read request body: body exceeds the size limit")
)

// requestBody is the body of a caller's request. A small body of known length is
// buffered, so that every attempt can send it, if there is memory for it. Any other body is
// streamed, and only one attempt can send it.
type requestBody struct {
	c     *call
	empty bool
	// replayable is true if the body is buffered, and buffered holds it once it is received.
	replayable bool
	buffered   []byte

	// readMu serializes reads from the caller, and guards identity, ended and peeked.
	readMu   sync.Mutex
	identity *identity.Hasher
	// ended is true once the end of the caller's body was read.
	ended bool
	// peeked is what was read of the body before the first attempt.
	peeked []byte

	mu        sync.Mutex
	consumed  bool
	tooLarge  bool
	remaining int64
}

// inspect determines from the header whether there is a body, and whether it is buffered.
func (b *requestBody) inspect() {
	r, cfg := b.c.r, b.c.g.cfg
	b.remaining = cfg.MaxBodyBytes
	b.empty = r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	b.replayable = !b.empty && r.ContentLength > 0 && r.ContentLength <= cfg.MaxReplayBytes && r.Header["Expect"] == nil &&
		cfg.Buffers.Requests.TryTake(r.ContentLength)
}

// release returns the memory of a body that was buffered.
func (b *requestBody) release() {
	if b.replayable {
		b.c.g.cfg.Buffers.Requests.Return(b.c.r.ContentLength)
	}
}

// bufferLimit returns the time until which a body that is buffered must have arrived.
func (b *requestBody) bufferLimit(now time.Time) time.Time {
	limit := now.Add(b.c.g.cfg.ProgressTimeout)
	if b.c.match.bounded && b.c.deadline.Before(limit) {
		return b.c.deadline
	}
	return limit
}

// buffer reads the body into memory if it is small enough to be replayed.
func (b *requestBody) buffer() *refusal.Refusal {
	r := b.c.r
	if !b.replayable {
		return nil
	}
	buffered := make([]byte, r.ContentLength)
	rc := http.NewResponseController(b.c.w)
	_ = rc.SetReadDeadline(b.bufferLimit(time.Now()))
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		if b.c.match.bounded && !time.Now().Before(b.c.deadline) {
			return refusal.NotRun(code.CallDeadline)
		}
		return refusal.NotRun(code.CallBadRequest)
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.buffered = buffered
	_, _ = b.identity.Write(buffered)
	return nil
}

// read reads from the caller's body.
func (b *requestBody) read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if len(b.peeked) > 0 {
		n := copy(p, b.peeked)
		b.peeked = b.peeked[n:]
		return n, nil
	}
	n, err := b.c.r.Body.Read(p)
	_, _ = b.identity.Write(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// knownDigest returns the digest of the request, and false if too little of a streamed body
// has been read.
func (b *requestBody) knownDigest() (mustardsaddle.RequestDigest, bool) {
	if !b.streamed() {
		return b.identity.Sum(), true
	}
	if !b.readMu.TryLock() {
		return mustardsaddle.RequestDigest{}, false
	}
	defer b.readMu.Unlock()
	return b.identity.Sum(), b.ended || b.identity.Full()
}

// digest returns the digest of the request. Of a streamed body it reads as much as counts,
// for at most wait, and keeps it for a later attempt if none has read from the body yet. It
// returns false if the body did not arrive in time.
func (b *requestBody) digest(wait time.Duration) (mustardsaddle.RequestDigest, bool) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if !b.streamed() || b.ended || b.identity.Full() {
		return b.identity.Sum(), true
	}
	rc := http.NewResponseController(b.c.w)
	_ = rc.SetReadDeadline(time.Now().Add(wait))
	var dst io.Writer = b.identity
	var kept bytes.Buffer
	if consumed, _ := b.state(); !consumed {
		dst = io.MultiWriter(b.identity, &kept)
	}
	_, err := io.CopyN(dst, b.c.r.Body, identity.MaxBodyBytes)
	b.peeked = append(b.peeked, kept.Bytes()...)
	b.ended = errors.Is(err, io.EOF)
	if !b.ended && !b.identity.Full() {
		return mustardsaddle.RequestDigest{}, false
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b.identity.Sum(), true
}

// streamed reports whether the body is forwarded while it is received.
func (b *requestBody) streamed() bool {
	return !b.empty && !b.replayable
}

// unbounded reports whether the deadline does not bound the time in which the body is received.
func (b *requestBody) unbounded() bool {
	return b.streamed() && !b.c.match.bounded
}

// attach sets the body of an outgoing request. It never sets GetBody, so
// http.Transport cannot resend the body by itself.
func (b *requestBody) attach(out *http.Request, reuse bool) {
	out.GetBody = nil
	out.Trailer = nil
	out.TransferEncoding = nil
	switch {
	case b.empty && reuse:
		connection.DisableResend(out)
	case b.empty:
		out.Body, out.ContentLength = http.NoBody, 0
	case b.buffered != nil:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(b.buffered)), int64(len(b.buffered))
	default:
		out.Trailer = header.TrailerNames(b.c.r.Trailer)
		b.c.g.removeCustomer(b.c.match.identification, out.Trailer)
		out.Body, out.ContentLength = &bodyReader{b: b, trailer: out.Trailer}, b.c.r.ContentLength
	}
}

// bodyReader reads a streamed body for one attempt. After Close it reads nothing
// more, so a body of which nothing was read stays available to a later attempt.
type bodyReader struct {
	b       *requestBody
	trailer http.Header
	closed  bool
}

// Read reads from the caller's body. The progress timeout restarts with each read.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.markConsumed() {
		return 0, errBodyClosed
	}
	c := r.b.c
	c.uploadProgress()
	n, err := r.b.read(p)
	if r.b.addBytes(n) {
		return 0, errBodyTooLarge
	}
	if err != nil {
		c.uploadDone()
	}
	if errors.Is(err, io.EOF) {
		for name := range r.trailer {
			r.trailer[name] = c.r.Trailer[name]
		}
	}
	return n, err
}

// markConsumed marks the body as consumed, or returns false if the reader is
// closed.
func (r *bodyReader) markConsumed() bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.closed {
		return false
	}
	r.b.consumed = true
	return true
}

// Close stops all further reads.
func (r *bodyReader) Close() error {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.closed = true
	return nil
}

// addBytes counts n bytes towards the size limit, and reports whether it is
// exceeded.
func (b *requestBody) addBytes(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	b.tooLarge = b.tooLarge || b.remaining < 0
	return b.tooLarge
}

// state reports whether an attempt has read from the body, and whether the body
// exceeds the size limit.
func (b *requestBody) state() (consumed, tooLarge bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed, b.tooLarge
}

// discardTimeout bounds the time in which the rest of a request body is discarded.
const discardTimeout = time.Second

// discardRest sends what is left of the response and discards the rest of the request body.
// net/http does the latter after the handler has returned, too, but with full duplex it
// then fails to read the next request and closes the connection. If the time does not suffice,
// or the rest cannot be read, the connection takes no further request: net/http would keep it
// and read the rest of the body as one.
func discardRest(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		connection.EndRequests(r)
		return
	}
	_ = rc.SetReadDeadline(time.Time{})
}
