package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

const (
	// maxEndedWait is the longest time that a call waits to learn whether the server of its
	// last attempt has ended, before another server gets the request; at most the time left
	// divided by endedWaitDivisor.
	maxEndedWait     = 300 * time.Millisecond
	endedWaitDivisor = 4
)

// newIdentity returns the identity of a request without its body.
func (g *Gateway) newIdentity(r *http.Request, m matchResult) *identity.Hasher {
	return identity.New(r, identity.Scope{Host: m.rule.Host, CallerHeader: g.cfg.Headers.Caller, Customer: m.name()})
}

// mayHaveEndedServer reports whether the attempt shows that its server may have ended: the
// request was sent, and the connection broke or nothing came in time.
func (a *attempt) mayHaveEndedServer() bool {
	if a.through != nil || a.outcome == mustardsaddle.NotRun {
		return false
	}
	return a.ctx.Err() == nil || a.timedOut() || errors.Is(context.Cause(a.ctx), errReplaced)
}

// checkServer finds out whether the server of an attempt that did not bring a complete
// response has ended, and records that the request was in progress there. It waits for that while
// the request may be sent again and ctx is not done.
func (c *call) checkServer(ctx context.Context, a *attempt) {
	check, known := c.observeServer(a)
	if check == nil || errors.Is(context.Cause(a.ctx), errDeadline) {
		return
	}
	now := time.Now()
	timer := time.NewTimer(c.endedWait(now))
	defer timer.Stop()
	select {
	case <-check.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	a.serverEnded = check.Ended()
	if !a.serverEnded || known || ctx.Err() != nil {
		return
	}
	if digest, ok := c.body.Digest(now, c.digestWait(now)); ok {
		c.recordCrash(digest, a.assignment.Choice.Server)
	}
}

// observeServer starts to find out whether the server of an attempt has ended, and records that the
// request was in progress there if its digest is known. It returns nil if the attempt does not suggest
// that the server has ended.
func (c *call) observeServer(a *attempt) (check *admission.EndCheck, known bool) {
	if !a.mayHaveEndedServer() {
		return nil, false
	}
	server := a.assignment.Choice.Server
	check = c.match.controller.CheckEnded(c.r.Context(), time.Now(), server)
	digest, known := c.body.KnownDigest()
	if known {
		check.OnEnded(func() { c.recordCrash(digest, server) })
	}
	return check, known
}

// endedWait returns how long the call may wait to learn whether a server has ended.
func (c *call) endedWait(now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if left <= 0 && !c.match.bounded {
		return maxEndedWait // the default deadline does not bound the body of a response
	}
	return max(min(maxEndedWait, left/endedWaitDivisor), 0)
}

// digestWait returns how long the call may wait for the part of its body that identifies it.
func (c *call) digestWait(now time.Time) time.Duration {
	if !c.match.bounded {
		return discardTimeout
	}
	return max(min(discardTimeout, c.deadline.Sub(now)), 0)
}

// recordCrash records that a server has ended while it had the request.
func (c *call) recordCrash(digest mustardsaddle.RequestDigest, server mustardsaddle.Server) {
	c.g.isolation.RecordCrash(time.Now(), quarantine.Crash{
		Digest: digest, Head: c.body.Head(), Service: c.match.controller.Service, Instance: server.Instance(),
	})
}

// recordCompleted records that a server has sent a complete response, if that shows that it
// executed the request.
func (c *call) recordCompleted(a *attempt) {
	if a.through != nil || !provesExecution(a.resp.StatusCode) {
		return
	}
	if digest, known := c.body.KnownDigest(); known {
		c.g.isolation.RecordCompleted(time.Now(), digest)
	}
}

// provesExecution reports whether a response with the status shows that the server executed
// the request to its end. A server may reject a request with some statuses before that.
func provesExecution(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusExpectationFailed,
		http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge:
		return false
	default:
		return status < http.StatusInternalServerError
	}
}
