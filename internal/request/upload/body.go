package upload

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

// Errors of bodies.
var (
	// ErrTaken is returned if an earlier sending has, or may have, taken a part of the body.
	ErrTaken = errors.New("send request body: an earlier sending has taken a part of it")
	// ErrNotKept is returned if the body is to be kept and was not received.
	ErrNotKept = errors.New("send request body: it has not been received")
	// ErrTooLarge ends a sending whose body exceeds the size limit.
	ErrTooLarge = errors.New("read request body: body exceeds the size limit")
	errClosed   = errors.New("read request body: sending is closed")
)

// Connection bounds reads from the caller. *http.ResponseController implements it.
type Connection interface {
	// SetReadDeadline ends reads of the body at t; the zero value means no end.
	SetReadDeadline(t time.Time) error
}

// Config configures a Body.
type Config struct {
	// Request is the caller's request.
	Request *http.Request
	// Connection is the connection of the caller.
	Connection Connection
	// Identity receives the body.
	Identity *identity.Hasher
	// MaxBytes is the maximum size of the body, and MaxKeptBytes of one that is kept.
	MaxBytes, MaxKeptBytes int64
	// Memory bounds the memory for the bodies that are kept; nil means no bound.
	Memory *buffer.Pool
	// OnRead is called before each read of a streamed body, and OnEnd at its end or after an
	// error; nil calls nothing.
	OnRead, OnEnd func()
}

// Body is the body of a caller's request. It is safe for concurrent use, except Keep and Release.
type Body struct {
	cfg   Config
	empty bool
	// replayable is true if the body is kept, and kept holds it once it is received.
	replayable bool
	kept       []byte

	// reading holds one element while the caller's body is read. It guards cfg.Identity,
	// ended and peeked.
	reading chan struct{}
	// ended is true once the end of the caller's body was read.
	ended bool
	// peeked is what was read of the body before the first sending took a part of it.
	peeked []byte

	mu sync.Mutex
	// lent is the sending that has a streamed body; nil if none has.
	lent *Sending
	// taken is true once a sending has begun to read a streamed body.
	taken     bool
	tooLarge  bool
	remaining int64
}

// New returns the body of a request. It determines from the header whether there is one, and
// whether it is kept.
func New(cfg Config) *Body {
	r := cfg.Request
	b := &Body{cfg: cfg, reading: make(chan struct{}, 1), remaining: cfg.MaxBytes}
	b.empty = r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	b.replayable = !b.empty && r.ContentLength > 0 && r.ContentLength <= cfg.MaxKeptBytes && r.Header["Expect"] == nil &&
		cfg.Memory.TryTake(r.ContentLength)
	return b
}

// Release returns the memory of a body that is kept.
func (b *Body) Release() {
	if b.replayable {
		b.cfg.Memory.Return(b.cfg.Request.ContentLength)
	}
}

// Empty reports whether there is no body.
func (b *Body) Empty() bool {
	return b.empty
}

// Streamed reports whether the body is forwarded while it is received.
func (b *Body) Streamed() bool {
	return !b.empty && !b.replayable
}

// Received reports whether the caller's body was read to its end. It does not wait for a read in progress.
func (b *Body) Received() bool {
	if !b.Streamed() {
		return b.empty || b.kept != nil
	}
	select {
	case b.reading <- struct{}{}:
	default:
		return false
	}
	defer b.endRead()
	return b.ended
}

// Keep reads a body that is to be kept, until the time limit. It does nothing for any other.
func (b *Body) Keep(limit time.Time) error {
	if !b.replayable {
		return nil
	}
	kept := make([]byte, b.cfg.Request.ContentLength)
	_ = b.cfg.Connection.SetReadDeadline(limit)
	if _, err := io.ReadFull(b.cfg.Request.Body, kept); err != nil {
		return err
	}
	_ = b.cfg.Connection.SetReadDeadline(time.Time{})
	b.kept = kept
	_, _ = b.cfg.Identity.Write(kept)
	return nil
}

// Discard reads the rest of the caller's body until the time limit, once a read of a sending has ended. It
// returns an error if the rest did not arrive, or was not read; the read deadline is then still set.
func (b *Body) Discard(limit time.Time) error {
	if b.Received() {
		return nil
	}
	_ = b.cfg.Connection.SetReadDeadline(limit)
	b.reading <- struct{}{}
	defer b.endRead()
	if _, err := io.Copy(io.Discard, b.cfg.Request.Body); err != nil {
		return err
	}
	return b.cfg.Connection.SetReadDeadline(time.Time{})
}

// Open returns the whole body for one sending of the request, or ErrTaken or ErrNotKept.
func (b *Body) Open() (*Sending, error) {
	if b.replayable && b.kept == nil {
		return nil, ErrNotKept
	}
	s := &Sending{body: b}
	if !b.Streamed() {
		return s, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken || b.lent != nil {
		return nil, ErrTaken
	}
	b.lent = s
	return s, nil
}

// Taken reports whether Open returns ErrTaken.
func (b *Body) Taken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken || b.lent != nil
}

// TooLarge reports whether the body exceeds the size limit.
func (b *Body) TooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// take marks a streamed body as taken by s. It returns false if s is closed.
func (b *Body) take(s *Sending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent != s {
		return false
	}
	b.taken = true
	return true
}

// giveBack ends the use of a streamed body by s.
func (b *Body) giveBack(s *Sending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent == s {
		b.lent = nil
	}
}

// read reads from the caller's body.
func (b *Body) read(p []byte) (int, error) {
	b.reading <- struct{}{}
	defer b.endRead()
	if len(b.peeked) > 0 {
		n := copy(p, b.peeked)
		b.peeked = b.peeked[n:]
		return n, nil
	}
	n, err := b.cfg.Request.Body.Read(p)
	_, _ = b.cfg.Identity.Write(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// endRead lets the next reader of the caller's body proceed.
func (b *Body) endRead() { <-b.reading }

// addBytes counts n bytes towards the size limit, and reports whether it is exceeded.
func (b *Body) addBytes(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	b.tooLarge = b.tooLarge || b.remaining < 0
	return b.tooLarge
}

// notify calls f unless it is nil.
func notify(f func()) {
	if f != nil {
		f()
	}
}
