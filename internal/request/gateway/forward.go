package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

const (
	// forwardDialTimeout bounds the time to open a connection to another gateway.
	forwardDialTimeout = 300 * time.Millisecond
	// forwardReserve is the part of the time left for a call that is kept for the way back
	// from the other gateway, so that its refusal arrives before the deadline; at most the
	// time left divided by forwardReserveDivisor.
	forwardReserve        = 20 * time.Millisecond
	forwardReserveDivisor = 10
	// lostRetryAfter is the least Retry-After while no gateway can reach a service. A caller
	// whose retries are few should not use them up at once.
	lostRetryAfter = 250 * time.Millisecond
)

// Reasons to forward a call, as logged.
const (
	reasonLost        = "Lost"
	reasonLimited     = "Limited"
	reasonUnconnected = "Unconnected"
	reasonIsolated    = "Isolated"
)

// ForwardingConfig configures the calls that gateways forward to each other.
type ForwardingConfig struct {
	// Self is this gateway.
	Self mustardsaddle.VM
	// MaxGateways is the maximum number of gateways to which a call is forwarded, one after
	// another; 0 forwards no call.
	MaxGateways int
	// MaxCarried is the maximum number of calls in flight that are taken from other
	// gateways; 0 takes none.
	MaxCarried int
}

// peerTransports are the transports for connections to other gateways.
type peerTransports struct {
	pooled, unpooled *http.Transport
}

func newPeerTransports(cfg Config) peerTransports {
	t := connection.TransportConfig{
		DialTimeout: forwardDialTimeout, IdleTimeout: cfg.IdleTimeout, Reuse: true, Counted: connection.CountedConfig{Heads: cfg.Buffers.Heads},
	}
	pooled := connection.NewTransport(t)
	t.Reuse = false
	return peerTransports{pooled: pooled, unpooled: connection.NewTransport(t)}
}

// Forwarder returns what this gateway knows about the reach of the others.
func (g *Gateway) Forwarder() *forward.Forwarder {
	return g.forwarder
}

// forwardIfLost forwards the call if this gateway cannot reach the service, or cannot open
// the connection that the request needs, and another one may. It returns nil twice if the
// call stays here.
func (c *call) forwardIfLost() (*attempt, *refusal.Refusal) {
	now := time.Now()
	lost, _ := c.match.controller.Lost(now)
	if !lost && c.match.carried == nil && c.needsNewConnection() && c.match.controller.AvoidDial(now) {
		return c.forward(reasonUnconnected, nil)
	}
	if !lost || c.match.carried == nil && c.g.forwarder.OwnPathFails(now) {
		return nil, nil
	}
	if c.match.carried != nil {
		return nil, c.finalRefusal(refusal.NotRun(code.CallUnreachable))
	}
	c.match.controller.QueryLost(c.r.Context())
	return c.forward(reasonLost, nil)
}

// lostRetryAfter returns the delay after which a caller should retry while no gateway can
// reach the service, or 0 if one may.
func (c *call) lostRetryAfter(now time.Time) time.Duration {
	lost, _ := c.match.controller.Lost(now)
	if !lost || c.g.forwarder.Available(now, reach.Need{Service: c.match.controller.Service}) {
		return 0
	}
	return c.g.spread(lostRetryAfter)
}

// spread returns a random duration from d to twice d, so that callers do not return all at
// once.
func (g *Gateway) spread(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d + time.Duration(g.rng.Int64N(int64(d)))
}

// forwardRefused forwards a call that this gateway could send to no server. If the limits
// of the servers are the reason, it goes to a gateway that holds a share of one. It returns
// nil twice if the call stays here.
func (c *call) forwardRefused(refused *refusal.Refusal) (*attempt, *refusal.Refusal) {
	if c.match.carried != nil {
		return nil, nil
	}
	switch {
	case refused.Code == code.CallLimited:
		return c.forward(reasonLimited, c.match.controller.Holders())
	case refused.Code == code.CallUnreachable && !c.g.forwarder.OwnPathFails(time.Now()):
		return c.forward(reasonLost, nil)
	case refused.Code == code.OK && c.allUnsent():
		return c.forward(reasonUnconnected, nil)
	default:
		return nil, nil
	}
}

// mayWaitForToken reports whether a call that was refused because of the limits of the
// servers may wait here until a limit permits it. A and forwarded are the results of
// forwardRefused.
func (c *call) mayWaitForToken(refused *refusal.Refusal, a *attempt, forwarded *refusal.Refusal) bool {
	notSent := a == nil && (forwarded == nil || forwarded.Outcome == mustardsaddle.NotRun)
	return notSent && refused.Code == code.CallLimited && c.request.NoTokenWait && c.match.carried == nil
}

// forwardUnsent forwards a call after an attempt that found no connection to its server, if
// this gateway can open none to other servers either. It returns nil twice if the call stays
// here.
func (c *call) forwardUnsent(a *attempt) (*attempt, *refusal.Refusal) {
	if c.match.carried != nil || !a.unsent() || !c.match.controller.DialsLost(time.Now()) {
		return nil, nil
	}
	return c.forward(reasonUnconnected, nil)
}

// allUnsent reports whether there were attempts and none found a connection.
func (c *call) allUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tried) > 0 && c.state.Sent() == 0
}

// forward forwards the call to other gateways, one after another, until one of them
// delivers a server's response. Among, if not nil, holds the names of those that may get
// it. It returns nil twice if none got the call.
func (c *call) forward(reason string, among []string) (*attempt, *refusal.Refusal) {
	need := reach.Need{Service: c.match.controller.Service, Zone: c.g.cfg.Admission.Zone, Among: among}
	var last *refusal.Refusal
	for len(need.Tried) < c.g.cfg.Forwarding.MaxGateways && c.r.Context().Err() == nil {
		vm, ok := c.g.forwarder.Pick(time.Now(), need)
		if !ok {
			break
		}
		need.Tried = append(slices.Clip(need.Tried), vm.Name)
		a, ok := c.newForward(vm, reason)
		if !ok {
			c.g.forwarder.Finish(time.Now(), reach.Reply{Gateway: vm.Name})
			break
		}
		c.track(a)
		c.send(a)
		if a.outcome == mustardsaddle.Ran {
			return a, nil
		}
		last = &refusal.Refusal{Code: a.code(), RetryAfter: a.answer.RetryAfter}
	}
	if last == nil {
		return nil, nil
	}
	return nil, c.finalRefusal(last)
}

// newForward prepares an attempt through another gateway. It returns false if the call
// permits no further attempt.
func (c *call) newForward(vm mustardsaddle.VM, reason string) (*attempt, bool) {
	c.mu.Lock()
	if c.body.Taken() {
		c.state.MarkBodyConsumed()
	}
	sent := c.state.Sent()
	granted, ok := c.state.BeginForward(time.Now())
	c.mu.Unlock()
	if !ok {
		return nil, false
	}
	policy := newConnection
	if c.match.repeat == mustardsaddle.RepeatYes {
		policy = anyConnection
	}
	a := &attempt{
		c: c, id: c.g.nextAttempt(), through: &vm, policy: policy, sentBefore: sent, granted: granted,
		assignment: admission.Assignment{Choice: mustardsaddle.Choice{Reason: reason}},
	}
	if sent > 0 {
		a.assignment.Kind = booking.Retry
	}
	a.ctx, a.cancel = context.WithCancelCause(c.r.Context())
	c.match.controller.Metrics.Forwarded.Inc(1)
	c.logRoute(a)
	return a, true
}

// forwardedCall returns the description of the call for the other gateway.
func (a *attempt) forwardedCall() forward.Call {
	c := a.c
	left := time.Until(c.deadline)
	left -= min(forwardReserve, left/forwardReserveDivisor)
	return forward.Call{
		Gateway: c.g.cfg.Name, Incarnation: c.g.cfg.Forwarding.Self.Incarnation, Attempt: a.id,
		Service: c.match.controller.Service, Generation: c.match.generation, Left: left, Sent: a.sentBefore, Attempts: a.granted,
		Customer: c.match.name(), Usage: c.match.usage,
	}
}

// classifyForward determines the outcome from what was written and what the other gateway
// states.
func (a *attempt) classifyForward() {
	if a.err != nil {
		a.outcome = mustardsaddle.Unknown
		if a.conn == nil || a.conn.BlockWrites() == a.writesBefore {
			a.outcome = mustardsaddle.NotRun
		}
		return
	}
	answer, err := forward.ParseAnswer(a.resp.Header)
	a.answer, a.outcome = answer, answer.Outcome
	if err == nil && (!answer.Delivered() || a.matchesCaller()) {
		return
	}
	a.mismatch, a.outcome = true, mustardsaddle.Unknown
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// endForward records the outcome of an attempt through another gateway. A gateway that was
// lost may have sent as many attempts as it was granted.
func (c *call) endForward(a *attempt) {
	sent := a.answer.Sent
	if a.err != nil || a.mismatch {
		sent = a.granted
	}
	if a.err != nil && a.outcome == mustardsaddle.NotRun {
		sent = 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.EndForward(a.outcome, sent)
}

// finishForward reports the result to the choice of gateways.
func (a *attempt) finishForward() {
	callerLeft := a.c.r.Context().Err() != nil || errors.Is(context.Cause(a.ctx), errSuperseded)
	reply := reach.Reply{
		Gateway: a.through.Name, Service: a.c.match.controller.Service,
		Failed: a.mismatch || a.err != nil && !callerLeft, Silent: a.err != nil && admission.FailureCause(a.err) == reach.Unanswered,
		Served: a.outcome == mustardsaddle.Ran,
		Lost:   a.answer.Code == code.CallUnreachable, RetryAfter: a.answer.RetryAfter,
	}
	if a.outcome != mustardsaddle.NotRun || a.refusedRequest() {
		reply.RetryAfter = 0
	}
	a.c.g.forwarder.Finish(time.Now(), reply)
}

// forwardCode returns the result code of an attempt through another gateway that delivered
// no response: the other gateway's own code if it says why it did not serve the call.
func (a *attempt) forwardCode() code.Code {
	switch answered := a.answer.Code; {
	case a.refusedRequest(), answered == code.CallOverloaded, answered == code.CallLimited, answered == code.CallDeadline, answered == code.CallTooLarge:
		return answered
	case a.outcome == mustardsaddle.NotRun:
		return code.CallUnreachable
	default:
		return code.CallBroken
	}
}

// refusedRequest reports whether the other gateway refused the request itself, which says
// nothing about other requests.
func (a *attempt) refusedRequest() bool {
	return a.answer.Code == code.CallQuarantined || a.answer.Code == code.CallSuspect
}

// withdrawAttempt takes back an attempt that was begun and that no server may get.
func (c *call) withdrawAttempt() {
	c.match.controller.Withdraw(func(b *booking.Budgets) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state.Withdraw(b)
	})
}
