package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// maxResumes bounds the consecutive range requests that bring no data.
const maxResumes = 3

// errReplaced is the cause of the end of an attempt whose body stands, once another server sends the rest.
var errReplaced = errors.New("read response body: another server sends the rest")

// restRequest requests the rest of a body from another server: for an idempotent GET whose
// response has a strong ETag and a length, by means of Range and If-Range.
type restRequest struct {
	// offset is where the rest begins.
	offset int64
	// ctx ends with drop, when the result is no longer needed.
	ctx  context.Context
	drop context.CancelFunc
	// done is closed when the request has ended.
	done chan struct{}
	// result is the attempt that continues the body; nil if there is none. It is set before done is closed.
	result *attempt
}

func newRestRequest(ctx context.Context, offset int64) *restRequest {
	r := &restRequest{offset: offset, done: make(chan struct{})}
	r.ctx, r.drop = context.WithCancel(ctx)
	return r
}

// end drops the request, waits for its end and finishes its result.
func (r *restRequest) end() {
	r.drop()
	<-r.done
	if r.result != nil {
		r.result.cancel(errSuperseded)
		r.result.finish()
	}
}

// resumable reports whether another server may send the rest of the body.
func (c *call) resumable(a *attempt) bool {
	etag := a.resp.Header.Get("Etag")
	return a.through == nil && c.r.Method == http.MethodGet && c.match.repeat == mustardsaddle.RepeatYes &&
		a.resp.StatusCode == http.StatusOK && a.resp.ContentLength > 0 &&
		c.r.Header.Get("Range") == "" && strings.HasPrefix(etag, `"`)
}

// replace continues the body from another server after the current attempt has ended with an error.
// It returns nil if that is possible, or else the cause.
func (s *bodySource) replace(cause error) error {
	s.mu.Lock()
	beside := s.beside
	s.beside = nil
	s.mu.Unlock()
	if beside != nil {
		<-beside.done
		if beside.result != nil && !s.hasExpired() {
			s.c.observeServer(s.attempt)
			s.adopt(beside.result, s.offset-beside.offset, cause)
			return nil
		}
		beside.end()
	}
	s.c.checkServer(s.c.r.Context(), s.attempt)
	if s.etag == "" {
		return cause
	}
	return s.resume(cause)
}

// onAsk requests the rest of a body that stands from another server, while the current attempt may go on.
func (s *bodySource) onAsk() {
	rest, standing := s.beginBeside(time.Now())
	if rest == nil {
		return
	}
	defer close(rest.done)
	s.c.checkServer(rest.ctx, standing)
	if !s.mayResume() {
		return
	}
	rest.result = s.requestRest(rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rest.result != nil && s.reading && s.beside == rest {
		s.attempt.cancel(errReplaced)
	}
}

// beginBeside begins a request for the rest beside the current attempt, and returns both, or nil if there is
// to be none.
func (s *bodySource) beginBeside(now time.Time) (*restRequest, *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reading || s.beside != nil || s.expired || now.Before(s.asksAt) || s.resumes >= maxResumes {
		return nil, nil
	}
	s.resumes++
	s.beside = newRestRequest(s.c.r.Context(), s.offset)
	return s.beside, s.attempt
}

// dropBeside ends a request for the rest, since the current attempt goes on.
func (s *bodySource) dropBeside() {
	s.mu.Lock()
	beside := s.beside
	s.beside = nil
	s.mu.Unlock()
	if beside != nil {
		beside.end()
	}
}

// resume requests the rest of a body that broke off.
func (s *bodySource) resume(cause error) error {
	for s.c.r.Context().Err() == nil && !s.hasExpired() && s.resumes < maxResumes && s.mayResume() {
		s.resumes++
		rest := newRestRequest(s.c.r.Context(), s.offset)
		if next := s.requestRest(rest); next != nil {
			s.adopt(next, 0, cause)
			return nil
		}
	}
	return cause
}

// adopt replaces the current attempt by one that continues the body. Next repeats the last bytes
// that were read, as many as skip.
func (s *bodySource) adopt(next *attempt, skip int64, cause error) {
	s.mu.Lock()
	broken := s.attempt
	s.attempt, s.skip = next, skip
	s.mu.Unlock()
	broken.err = cause
	broken.finish()
	controller := s.c.match.controller
	controller.Metrics.Resumed.Inc(1)
	event.Info(s.c.g.cfg.Logger, event.CallResumed).Str("Attempt", next.id).Str("Service", controller.Service).
		Str("Server", next.assignment.Choice.Server.Name).Int64("Offset", s.offset).Err(cause).Send()
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

// requestRest requests the rest of the body from another server, and verifies that it continues the
// same body. It returns nil if there is no such response.
func (s *bodySource) requestRest(rest *restRequest) *attempt {
	controller := s.c.match.controller
	if !controller.Resume(time.Now(), s.c.beginResume) {
		return nil
	}
	choice, ok := controller.ChooseOther(time.Now(), s.attempt.assignment.Choice.Server.Name)
	if !ok {
		return nil
	}
	a := s.c.newAttempt(admission.Assignment{Kind: booking.Retry, Choice: choice}, newConnection)
	stop := context.AfterFunc(rest.ctx, func() { a.cancel(errSuperseded) })
	timer := time.AfterFunc(s.restWait(time.Now()), func() { a.cancel(errDeadline) })
	a.send(func(h http.Header) {
		h["Range"] = []string{fmt.Sprintf("bytes=%d-", rest.offset)}
		h["If-Range"] = []string{s.etag}
		if !s.c.match.bounded {
			// The default deadline bounds only the wait for the first response.
			delete(h, s.c.g.cfg.Headers.Deadline)
		}
	})
	timer.Stop()
	stop()
	if err := s.checkRest(a, rest.offset); err != nil {
		s.c.checkServer(rest.ctx, a)
		if a.err == nil {
			a.cancel(err)
		}
		a.finish()
		return nil
	}
	return a
}

// restWait returns how long the response header to a request for the rest may take.
func (s *bodySource) restWait(now time.Time) time.Duration {
	if s.c.match.bounded {
		return s.c.deadline.Sub(now)
	}
	return s.c.match.deadline
}

var errBodyMismatch = errors.New("resume download: server returned a different body")

// checkRest returns an error unless the response continues the body at the offset.
func (s *bodySource) checkRest(a *attempt, offset int64) error {
	if a.outcome != mustardsaddle.Ran {
		return code.Wrapf(code.CallBroken, a.err, "resume download at %d: got outcome %v", offset, a.outcome)
	}
	want := fmt.Sprintf("bytes %d-%d/%d", offset, s.total-1, s.total)
	h := a.resp.Header
	if a.resp.StatusCode != http.StatusPartialContent || h.Get("Etag") != s.etag || h.Get("Content-Range") != want ||
		a.resp.ContentLength != s.total-offset {
		return errBodyMismatch
	}
	return nil
}
