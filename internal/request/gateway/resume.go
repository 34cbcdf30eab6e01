package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// maxResumes bounds the consecutive range requests that bring no data.
const maxResumes = 3

// bodySource reads a response body. It enforces the progress timeout and checks the
// length. If the body breaks off, it continues from another server where the bytes
// provably belong to the same body: for an idempotent GET whose response has a
// strong ETag and a length, by means of Range and If-Range.
type bodySource struct {
	c            *call
	attempt      *attempt
	etag         string
	total        int64
	offset       int64
	emptyResumes int
	// resumedSuspect is true once the body was requested again although the request is
	// suspect.
	resumedSuspect bool
	timer          *time.Timer

	mu sync.Mutex
}

func newBodySource(c *call, a *attempt) *bodySource {
	s := &bodySource{c: c, attempt: a, total: a.resp.ContentLength}
	if c.resumable(a) {
		s.etag = a.resp.Header.Get("Etag")
	}
	s.timer = time.AfterFunc(c.g.cfg.ProgressTimeout, s.onStall)
	return s
}

// resumable reports whether another server may send the rest of the body.
func (c *call) resumable(a *attempt) bool {
	etag := a.resp.Header.Get("Etag")
	return a.through == nil && c.r.Method == http.MethodGet && c.match.repeat == mustardsaddle.RepeatYes &&
		a.resp.StatusCode == http.StatusOK && a.resp.ContentLength > 0 &&
		c.r.Header.Get("Range") == "" && strings.HasPrefix(etag, `"`)
}

// expire cancels the current attempt when the body of a small response takes too long.
func (s *bodySource) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt.cancel(errDeadline)
}

// onStall cancels the current attempt when the body makes no progress.
func (s *bodySource) onStall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt.cancel(errStalled)
}

// Read reads from the current attempt, and resumes the body if it breaks off.
func (s *bodySource) Read(p []byte) (int, error) {
	for {
		s.timer.Reset(s.c.g.cfg.ProgressTimeout)
		n, err := s.attempt.resp.Body.Read(p)
		s.timer.Stop()
		s.offset += int64(n)
		if n > 0 {
			s.emptyResumes = 0
		}
		if err == io.EOF {
			err = s.end()
		}
		if err == nil || err == io.EOF {
			return n, err
		}
		if s.c.checkServer(s.attempt); s.etag == "" {
			return n, err
		}
		if cause := s.resume(err); cause != nil {
			return n, cause
		}
		if n > 0 {
			return n, nil
		}
	}
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

// resume replaces the failed attempt by one that continues the body.
func (s *bodySource) resume(cause error) error {
	broken := s.attempt
	for s.c.r.Context().Err() == nil && s.emptyResumes < maxResumes && s.mayResume() {
		s.emptyResumes++
		next, ok := s.requestRest()
		if !ok {
			continue
		}
		s.mu.Lock()
		s.attempt = next
		s.mu.Unlock()
		broken.err = cause
		broken.finish()
		controller := s.c.match.controller
		controller.Metrics.Resumed.Inc(1)
		event.Info(s.c.g.cfg.Logger, event.CallResumed).Str("Attempt", next.id).Str("Service", controller.Service).
			Str("Server", next.assignment.Choice.Server.Name).Int64("Offset", s.offset).Err(cause).Send()
		return nil
	}
	return cause
}

// mayResume reports whether another server may get the request. A suspect request, under
// which one server has ended, is sent once more.
func (s *bodySource) mayResume() bool {
	d := s.c.decision()
	if d.State == quarantine.Free {
		return true
	}
	if s.resumedSuspect || d.Crashes > 1 {
		return false
	}
	s.resumedSuspect = true
	return true
}

// beginResume asks the call's state whether the request may be sent once more.
func (c *call) beginResume(now time.Time, b *booking.Budgets) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body.Taken() {
		c.state.MarkBodyConsumed()
	}
	return c.state.Resume(now, b)
}

// requestRest requests the rest of the body from another server, and verifies that
// it continues the same body.
func (s *bodySource) requestRest() (*attempt, bool) {
	controller := s.c.match.controller
	if !controller.Resume(time.Now(), s.c.beginResume) {
		return nil, false
	}
	choice, ok := controller.ChooseOther(time.Now(), s.attempt.assignment.Choice.Server.Name)
	if !ok {
		return nil, false
	}
	a := s.c.newAttempt(admission.Assignment{Kind: booking.Retry, Choice: choice}, newConnection)
	wait := s.c.match.deadline
	if s.c.match.bounded {
		wait = time.Until(s.c.deadline)
	}
	timer := time.AfterFunc(wait, func() { a.cancel(errDeadline) })
	a.send(func(h http.Header) {
		h["Range"] = []string{fmt.Sprintf("bytes=%d-", s.offset)}
		h["If-Range"] = []string{s.etag}
		if !s.c.match.bounded {
			// The default deadline bounds only the wait for the first response.
			delete(h, s.c.g.cfg.Headers.Deadline)
		}
	})
	timer.Stop()
	if err := s.checkRest(a); err != nil {
		s.c.checkServer(a)
		if a.err == nil {
			a.cancel(err)
		}
		a.finish()
		return nil, false
	}
	return a, true
}

var errBodyMismatch = errors.New("resume download: server returned a different body")

// checkRest returns an error unless the response continues the body at the offset.
func (s *bodySource) checkRest(a *attempt) error {
	if a.outcome != mustardsaddle.Ran {
		return code.Wrapf(code.CallBroken, a.err, "resume download at %d: got outcome %v", s.offset, a.outcome)
	}
	want := fmt.Sprintf("bytes %d-%d/%d", s.offset, s.total-1, s.total)
	h := a.resp.Header
	if a.resp.StatusCode != http.StatusPartialContent || h.Get("Etag") != s.etag || h.Get("Content-Range") != want ||
		a.resp.ContentLength != s.total-s.offset {
		return errBodyMismatch
	}
	return nil
}

// close finishes the current attempt.
func (s *bodySource) close() {
	s.timer.Stop()
	s.attempt.finish()
}
