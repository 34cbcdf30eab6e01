package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

// endedWait is how long a call waits to learn whether the server of its last attempt has
// ended.
const endedWait = 50 * time.Millisecond

// mayHaveEndedServer reports whether the attempt shows that its server may have ended: the
// request was sent, and the connection broke or nothing came in time.
func (a *attempt) mayHaveEndedServer() bool {
	if a.through != nil || a.err == nil || a.outcome == mustardsaddle.NotRun {
		return false
	}
	return a.ctx.Err() == nil || a.resp == nil && a.timedOut()
}

// checkServer finds out whether the server of an attempt without a response has ended.
func (c *call) checkServer(a *attempt) {
	if !a.mayHaveEndedServer() {
		return
	}
	check := c.match.controller.CheckEnded(c.r.Context(), time.Now(), a.assignment.Choice.Server)
	if errors.Is(context.Cause(a.ctx), errDeadline) {
		return
	}
	timer := time.NewTimer(endedWait)
	defer timer.Stop()
	select {
	case <-check.Done():
	case <-timer.C:
	}
	a.serverEnded = check.Ended()
}

// newIdentity returns the identity of a request without its body.
func (g *Gateway) newIdentity(r *http.Request) *identity.Hasher {
	return identity.New(r, g.cfg.Headers.Caller)
}
