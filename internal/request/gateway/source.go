package gateway

import (
	"io"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/response"
	"mustardsaddle.example/mustardsaddle/internal/request/download"
)

// bodySource reads a response body. It ends a body that the caller waits for in vain, and checks
// its length. If the body breaks off or stands, it continues from another server where the bytes
// provably belong to the same body; see restRequest.
type bodySource struct {
	c *call
	// etag identifies the body; empty if no other server may send the rest.
	etag  string
	total int64
	wait  download.Wait
	// resumes is the number of requests for the rest that have brought no data.
	resumes int
	// resumedSuspect is true once the body was requested again although the request is
	// suspect.
	resumedSuspect bool
	// endTimer runs while the body is read, and so does askTimer if another server may send the rest.
	endTimer, askTimer *time.Timer

	mu      sync.Mutex
	attempt *attempt
	offset  int64
	// skip is the number of bytes that the attempt repeats.
	skip int64
	// reading is true while the body is read. The read ends at endsAt, and another server is
	// asked at asksAt.
	reading        bool
	endsAt, asksAt time.Time
	// expired is true once the body of a small response has taken too long.
	expired bool
	// beside is the request for the rest beside the attempt; nil if there is none.
	beside *restRequest
}

func newBodySource(c *call, a *attempt) *bodySource {
	cfg := download.Config{ProgressTimeout: c.g.cfg.ProgressTimeout}
	if c.match.bounded {
		cfg.Deadline = c.deadline
	}
	s := &bodySource{c: c, attempt: a, total: a.resp.ContentLength, wait: download.NewWait(cfg)}
	s.endTimer = time.AfterFunc(cfg.ProgressTimeout, s.onEnd)
	if c.resumable(a) {
		s.etag = a.resp.Header.Get("Etag")
		s.askTimer = time.AfterFunc(cfg.ProgressTimeout, s.onAsk)
	}
	return s
}

// Read reads from the current attempt, and from another one if that breaks off or stands.
func (s *bodySource) Read(p []byte) (int, error) {
	for {
		n, err := s.readAttempt(p)
		if err == io.EOF {
			err = s.end()
		}
		if err == nil || err == io.EOF {
			if n > 0 || err == io.EOF {
				s.dropBeside()
			}
			return n, err
		}
		if cause := s.replace(err); cause != nil {
			return n, cause
		}
		if n > 0 {
			return n, nil
		}
	}
}

// readAttempt reads from the current attempt, for as long as the caller may wait.
func (s *bodySource) readAttempt(p []byte) (int, error) {
	began := time.Now()
	s.beginRead(began)
	n, err := s.attempt.resp.Body.Read(p)
	s.endTimer.Stop()
	if s.askTimer != nil {
		s.askTimer.Stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if repeated := int(min(int64(n), s.skip)); repeated > 0 {
		s.skip -= int64(repeated)
		n = copy(p, p[repeated:n])
	}
	s.offset += int64(n)
	if n > 0 {
		s.resumes = 0
	}
	s.wait = s.wait.WithRead(began, time.Now(), n)
	return n, err
}

// beginRead starts the timers of a read.
func (s *bodySource) beginRead(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = true
	s.endsAt = s.wait.EndsAt(now)
	s.endTimer.Reset(s.endsAt.Sub(now))
	if s.askTimer == nil {
		return
	}
	at, ok := s.wait.AsksAt(now)
	if ok {
		s.asksAt = at
		s.askTimer.Reset(at.Sub(now))
	}
}

// onEnd ends the current attempt when the caller has waited long enough.
func (s *bodySource) onEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.reading || now.Before(s.endsAt) {
		return
	}
	cause := errStalled
	if s.c.match.bounded && !now.Before(s.c.deadline) {
		cause = errDeadline
	}
	s.attempt.cancel(cause)
}

// expire ends the body of a small response that has taken too long.
func (s *bodySource) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	s.attempt.cancel(errDeadline)
	if s.beside != nil {
		s.beside.drop()
	}
}

// hasExpired reports whether expire was called.
func (s *bodySource) hasExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}

// end returns io.EOF if a body that has ended is complete and its trailer is sound.
func (s *bodySource) end() error {
	if s.total >= 0 && s.offset < s.total && s.c.bodyExpected(s.attempt) {
		return io.ErrUnexpectedEOF
	}
	if err := response.CheckTrailer(s.attempt.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// close finishes the current attempt.
func (s *bodySource) close() {
	s.endTimer.Stop()
	if s.askTimer != nil {
		s.askTimer.Stop()
	}
	s.dropBeside()
	s.attempt.finish()
}
