package upload

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// Sending is the whole body for one sending of its request. After Close it reads nothing more.
type Sending struct {
	body *Body
	// trailer receives the trailer of a streamed body at its end.
	trailer http.Header
}

// Attach makes the body that of an outgoing request, with the names of the fields in its trailer.
// Reuse states whether the request may be sent on a connection that had other requests. It never
// sets GetBody, so http.Transport cannot resend the body by itself.
func (s *Sending) Attach(out *http.Request, trailer http.Header, reuse bool) {
	out.GetBody, out.Trailer, out.TransferEncoding = nil, nil, nil
	b := s.body
	switch {
	case b.empty && reuse:
		connection.DisableResend(out)
	case b.empty:
		out.Body, out.ContentLength = http.NoBody, 0
	case b.replayable:
		// http.Transport writes a body of this type together with the header.
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(b.kept)), int64(len(b.kept))
	default:
		s.trailer, out.Trailer = trailer, trailer
		out.Body, out.ContentLength = s, b.cfg.Request.ContentLength
		if out.ContentLength < 0 {
			// Without it, http.Transport reads from the body, for some methods, before it
			// writes the header.
			out.TransferEncoding = []string{"chunked"}
		}
	}
}

// Read reads from a streamed body, which counts as taken from then on.
func (s *Sending) Read(p []byte) (int, error) {
	b := s.body
	if !b.take(s) {
		return 0, errClosed
	}
	notify(b.cfg.OnRead)
	n, err := b.read(p)
	if b.addBytes(n) {
		return 0, ErrTooLarge
	}
	if err != nil {
		notify(b.cfg.OnEnd)
	}
	if errors.Is(err, io.EOF) {
		for name := range s.trailer {
			s.trailer[name] = b.cfg.Request.Trailer[name]
		}
	}
	return n, err
}

// Close returns a body of which nothing was read to its owner.
func (s *Sending) Close() error {
	s.body.giveBack(s)
	return nil
}
