package upload

import (
	"bytes"
	"errors"
	"io"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

// Head returns the hash of the request without its body; see identity.Hasher.
func (b *Body) Head() uint64 {
	return b.cfg.Identity.Head()
}

// KnownDigest returns the digest of the request, and false if too little of a streamed body
// has been read.
func (b *Body) KnownDigest() (mustardsaddle.RequestDigest, bool) {
	if !b.Streamed() {
		return b.cfg.Identity.Sum(), true
	}
	select {
	case b.reading <- struct{}{}:
	default:
		return mustardsaddle.RequestDigest{}, false
	}
	defer b.endRead()
	return b.cfg.Identity.Sum(), b.ended || b.cfg.Identity.Full()
}

// Digest returns the digest of the request. Of a streamed body it reads as much as counts, for
// at most wait. If no sending has taken a part of the body, what was read is kept for the next one;
// else the sending that has it is closed, and what was read is discarded. It returns false if the
// body did not arrive in time.
func (b *Body) Digest(now time.Time, wait time.Duration) (mustardsaddle.RequestDigest, bool) {
	if !b.Streamed() {
		return b.cfg.Identity.Sum(), true
	}
	taken := b.revokeTaken()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case b.reading <- struct{}{}:
	case <-timeout.C:
		return mustardsaddle.RequestDigest{}, false
	}
	defer b.endRead()
	if b.ended || b.cfg.Identity.Full() {
		return b.cfg.Identity.Sum(), true
	}
	_ = b.cfg.Connection.SetReadDeadline(now.Add(wait))
	if !b.readDigest(taken) {
		return mustardsaddle.RequestDigest{}, false
	}
	_ = b.cfg.Connection.SetReadDeadline(time.Time{})
	return b.cfg.Identity.Sum(), true
}

// revokeTaken reports whether a sending has taken a part of the body. Such a sending reads nothing
// more.
func (b *Body) revokeTaken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		b.lent = nil
	}
	return b.taken
}

// readDigest reads as much of the caller's body as counts, and reports whether it has arrived. The
// caller holds reading.
func (b *Body) readDigest(taken bool) bool {
	var kept bytes.Buffer
	var dst io.Writer = b.cfg.Identity
	if !taken {
		dst = io.MultiWriter(b.cfg.Identity, &kept)
	}
	_, err := io.CopyN(dst, b.cfg.Request.Body, identity.MaxBodyBytes)
	b.peeked = append(b.peeked, kept.Bytes()...)
	b.ended = errors.Is(err, io.EOF)
	return b.ended || b.cfg.Identity.Full()
}
