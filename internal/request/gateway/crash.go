package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
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
	return a.ctx.Err() == nil || a.timedOut()
}

// checkServer finds out whether the server of an attempt that did not bring a complete
// response has ended, and records that the request was in progress there.
func (c *call) checkServer(a *attempt) {
	if !a.mayHaveEndedServer() {
		return
	}
	server := a.assignment.Choice.Server
	check := c.match.controller.CheckEnded(c.r.Context(), time.Now(), server)
	digest, known := c.body.KnownDigest()
	if known {
		check.OnEnded(func() { c.recordCrash(digest, server) })
	}
	if errors.Is(context.Cause(a.ctx), errDeadline) {
		return
	}
	timer := time.NewTimer(c.endedWait(time.Now()))
	defer timer.Stop()
	select {
	case <-check.Done():
	case <-timer.C:
	}
	a.serverEnded = check.Ended()
	if a.serverEnded && !known {
		if digest, known = c.body.Digest(time.Now(), discardTimeout); known {
			c.recordCrash(digest, server)
		}
	}
}

// endedWait returns how long the call may wait to learn whether a server has ended. The
// deadline does not bound the body of a response.
func (c *call) endedWait(now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if left <= 0 {
		return maxEndedWait
	}
	return min(maxEndedWait, left/endedWaitDivisor)
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
