package gateway

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/isolation"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

const (
	// maxIsolationWait is the longest time that a call waits for another run of the same
	// suspect request to end; at most the time left divided by isolationWaitDivisor.
	maxIsolationWait     = 500 * time.Millisecond
	isolationWaitDivisor = 4
	// suspectRetryAfter is the least Retry-After of a call that has waited in vain.
	suspectRetryAfter = 250 * time.Millisecond
)

// Isolation returns what this gateway knows about requests under which servers end.
func (g *Gateway) Isolation() *isolation.Isolation {
	return g.isolation
}

// isolate decides whether the call may send its next attempt. A quarantined request is
// refused. A suspect one is sent by one gateway, once at a time: this one, after it has
// waited for its turn, or another one, to which the call is forwarded. It returns nil twice
// if the call may go on here.
func (c *call) isolate() (*attempt, *refusal.Refusal) {
	c.leaveIsolation()
	if !c.g.isolation.Active() {
		return nil, nil
	}
	digest, mayBeSuspect, known := c.suspectDigest()
	switch {
	case !mayBeSuspect:
		return nil, nil
	case !known:
		return nil, c.refuseSuspect()
	}
	now := time.Now()
	d := c.g.isolation.Decide(now, digest)
	if d.State == quarantine.Free {
		return nil, nil
	}
	c.suspicion = digest.String()
	switch {
	case !c.permitsAttempt(now):
		return nil, nil
	case d.State == quarantine.Quarantined:
		return nil, c.refuseQuarantined(d)
	case c.match.carried == nil && c.g.cfg.Forwarding.MaxGateways > 0:
		if a, refused, here := c.forwardSuspect(digest); !here {
			return a, refused
		}
	}
	return nil, c.enterIsolation(digest)
}

// suspectDigest returns the digest of the request, if the request may be suspect. Known is
// false if its body arrives too slowly to tell.
func (c *call) suspectDigest() (digest mustardsaddle.RequestDigest, mayBeSuspect, known bool) {
	if digest, known = c.body.KnownDigest(); known {
		return digest, true, true
	}
	if !c.g.isolation.Concerns(c.body.Head()) {
		return digest, false, false
	}
	now := time.Now()
	digest, known = c.body.Digest(now, c.deadline.Sub(now))
	return digest, true, known
}

// permitsAttempt reports whether the call may have another attempt.
func (c *call) permitsAttempt(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Permitted(now)
}

// forwardSuspect forwards the call to the gateway that sends the request. Here is true if
// that is this gateway.
func (c *call) forwardSuspect(digest mustardsaddle.RequestDigest) (a *attempt, refused *refusal.Refusal, here bool) {
	senders := c.g.isolation.Senders(digest)
	self := slices.Index(senders, c.g.cfg.Name)
	for i, sender := range senders {
		if i == self {
			return nil, nil, true
		}
		a, refused = c.forward(reasonIsolated, []string{sender})
		reached := refused != nil && (refused.Code != code.CallUnreachable || refused.Outcome != mustardsaddle.NotRun)
		if a != nil || reached {
			return a, refused, false
		}
	}
	return nil, c.refuseSuspect(), false
}

// enterIsolation waits until no other run of the request proceeds here. It returns a refusal
// if that takes too long, or if the request is quarantined meanwhile.
func (c *call) enterIsolation(digest mustardsaddle.RequestDigest) *refusal.Refusal {
	wait := min(maxIsolationWait, time.Until(c.deadline)/isolationWaitDivisor)
	leave, ok := c.g.isolation.Enter(c.r.Context(), digest, wait)
	if !ok {
		return c.refuseSuspect()
	}
	now := time.Now()
	d := c.g.isolation.Decide(now, digest)
	if d.State == quarantine.Due && !c.g.isolation.BeginRetest(now, digest) {
		d.State = quarantine.Quarantined
	}
	switch d.State {
	case quarantine.Free:
		leave()
	case quarantine.Quarantined:
		leave()
		return c.refuseQuarantined(d)
	default:
		c.isolated, c.leave = true, leave
	}
	return nil
}

// leaveIsolation lets the next run of the request proceed.
func (c *call) leaveIsolation() {
	if c.leave != nil {
		c.leave()
	}
	c.isolated, c.leave = false, nil
}

// refuseQuarantined returns the refusal of a quarantined request.
func (c *call) refuseQuarantined(d quarantine.Decision) *refusal.Refusal {
	return c.finalRefusal(&refusal.Refusal{Code: code.CallQuarantined, RetryAfter: d.Wait})
}

// refuseSuspect returns the refusal of a suspect request of which another run is in progress.
func (c *call) refuseSuspect() *refusal.Refusal {
	return c.finalRefusal(&refusal.Refusal{Code: code.CallSuspect, RetryAfter: c.g.spread(suspectRetryAfter)})
}

// decision returns what may be done with the request once a server has sent a part of
// its response.
func (c *call) decision() quarantine.Decision {
	digest, known := c.body.KnownDigest()
	if !known {
		return quarantine.Decision{State: quarantine.Quarantined}
	}
	return c.g.isolation.Decide(time.Now(), digest)
}
