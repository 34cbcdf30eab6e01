package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
	"mustardsaddle.example/mustardsaddle/internal/request/upload"
)

// call is the state of one caller's request.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	match matchResult
	start time.Time
	// firstSentAt is the estimated time at which the caller sent the request for the first
	// time; the start of the call unless late calls are refused in a shortage.
	firstSentAt time.Time
	deadline    time.Time
	body        *upload.Body
	timer       *time.Timer
	request     admission.Request
	claim       *mustardsaddle.Claim // held by this call; nil if none
	// acquired is true if the call was taken from the quota of its customer here.
	acquired bool
	// isolated is true if the present attempt is the only one in the fleet of a suspect
	// request, and leave ends that; nil if there is nothing to end.
	isolated bool
	leave    func()
	// suspicion is the digest of the request if it is suspect or quarantined; empty
	// otherwise.
	suspicion string
	// openEnded is true once a response without a length has begun.
	openEnded bool
	// settled is true once the call was answered completely, or refused before its first attempt.
	settled bool

	mu              sync.Mutex
	state           booking.Call
	tried           []string
	lastAttemptID   string
	expired         bool
	primary         *attempt
	hedge           *attempt
	winner          *attempt
	responseStarted bool
	// informational is the number of 1xx responses received.
	informational int
}

func newCall(g *Gateway, now time.Time, w http.ResponseWriter, r *http.Request, m matchResult) *call {
	c := &call{g: g, w: w, r: r, match: m, start: now, firstSentAt: now.Add(-m.elapsed), deadline: now.Add(m.deadline)}
	c.body = c.newBody()
	c.request = admission.Request{
		Begin: c.beginAttempt, Entry: c.queueEntry, NoTokenWait: m.carried != nil || g.cfg.Forwarding.MaxGateways > 0,
	}
	cfg := booking.Config{Repeat: m.repeat, Deadline: c.deadline, Bounded: m.bounded, MaxAttempts: m.attempts}
	if m.carried != nil {
		cfg.Sent = m.carried.Sent
		m.controller.Metrics.Carried.Inc(1)
	}
	c.state = booking.New(cfg)
	c.timer = time.AfterFunc(m.deadline, c.expire)
	return c
}

// expire cancels the attempts in flight when the deadline passes. An attempt whose body waits for
// the caller ends only with that wait.
func (c *call) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseStarted {
		return
	}
	c.expired = true
	for _, a := range []*attempt{c.primary, c.hedge} {
		if a != nil {
			a.cancel(errDeadline)
		}
	}
	// After the end of the body, net/http would take the read deadline for the end of the connection.
	if c.body.Streamed() && !c.body.Received() {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now())
	}
}

// queueEntry returns the call's deadline, priority, latency target and customer for the
// queue.
func (c *call) queueEntry(id uint64) slot.Entry {
	e := slot.Entry{ID: id, Deadline: c.deadline, Priority: c.match.priority()}
	if c.match.keyed {
		e.Share = c.match.share()
	}
	if target := c.match.rule.Target; target > 0 {
		e.Target = c.firstSentAt.Add(target)
		e.MaxWait = target / slot.MaxWaitDivisor
	}
	return e
}

// track registers an attempt, so that it is canceled by the deadline or when
// another attempt of the call is answered first.
func (c *call) track(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.assignment.Kind == booking.Hedge {
		c.hedge = a
	} else {
		c.primary, c.hedge = a, nil
	}
	if a.through == nil {
		c.tried = append(c.tried, a.assignment.Choice.Server.Name)
	}
	c.lastAttemptID = a.id
	if c.expired {
		a.cancel(errDeadline)
	}
	if c.winner != nil {
		a.cancel(errSuperseded)
	}
}

// serve takes the call through admission, attempts and the relay of the response.
func (c *call) serve() {
	if refused := c.acquireQuota(); refused != nil {
		c.refuse(refused)
		return
	}
	defer c.releaseQuota()
	if refused := c.receive(); refused != nil {
		c.settled = true
		c.refuse(refused)
		return
	}
	// The gateway that has forwarded a call holds its claim.
	if c.match.repeat == mustardsaddle.RepeatClaim && c.match.carried == nil {
		if refused := c.acquireClaim(); refused != nil {
			c.refuse(refused)
			return
		}
		defer c.recordClaimOutcome()
	}
	defer c.leaveIsolation()
	a, refused := c.runAttempts()
	if refused != nil {
		c.refuse(refused)
		return
	}
	c.relay(a)
}

// end releases the call.
func (c *call) end() {
	c.timer.Stop()
	c.body.Release()
	if !c.settled && c.endedByStop() {
		c.g.stop.ended.Add(1)
	}
}

// receive reads a body that is small enough to be replayed. It refuses a call that may not end
// before the gateway does, before and after it has waited for the body.
func (c *call) receive() *refusal.Refusal {
	if refused := c.refuseStopping(time.Now()); refused != nil {
		return refused
	}
	if refused := c.keepBody(); refused != nil {
		return refused
	}
	return c.refuseStopping(time.Now())
}

// runAttempts sends attempts until one is answered or no further attempt is
// permitted.
func (c *call) runAttempts() (*attempt, *refusal.Refusal) {
	var last *refusal.Refusal
	for {
		if a, refused := c.isolate(); a != nil || refused != nil {
			return a, refused
		}
		if a, refused := c.forwardIfLost(); a != nil || refused != nil {
			return a, refused
		}
		assigned, refused := c.admit()
		if refused != nil {
			a, forwarded := c.forwardRefused(refused)
			switch {
			case c.mayWaitForToken(refused, a, forwarded):
				c.request.NoTokenWait = false
				continue
			case a != nil || forwarded != nil:
				return a, forwarded
			case last != nil:
				return nil, c.finalRefusal(last)
			default:
				return nil, c.finalRefusal(refused)
			}
		}
		a := c.newAttempt(assigned, c.connectionPolicy(assigned))
		c.track(a)
		a = c.sendHedged(a)
		if a.outcome == mustardsaddle.Ran {
			return a, nil
		}
		last = &refusal.Refusal{Code: a.code()}
		if a, refused := c.forwardUnsent(a); a != nil || refused != nil {
			return a, refused
		}
	}
}

// admit obtains permission for one more attempt and a server to send it to.
func (c *call) admit() (admission.Assignment, *refusal.Refusal) {
	unqueried := c.match.controller.QueryLoad(c.r.Context(), c.triedServers())
	assigned, refused := c.match.controller.Admit(c.r.Context(), time.Now(), c.request, unqueried)
	if refused != nil {
		switch refused.Code {
		case code.OK:
		case code.CallLimited, code.CallUnreachable:
			c.withdrawAttempt()
		default:
			c.endAttempt(mustardsaddle.NotRun)
		}
		return assigned, refused
	}
	if assigned.Queued > 0 {
		c.match.controller.Metrics.Queued.RecordDuration(assigned.Queued)
	}
	switch assigned.Kind {
	case booking.Retry:
		c.match.controller.Metrics.Retries.Inc(1)
	case booking.Hedge:
		c.match.controller.Metrics.Hedges.Inc(1)
	case booking.First:
	}
	return assigned, nil
}

// beginAttempt asks the call's state for one more attempt, and returns the servers
// that were tried. The controller calls it while it holds its own mutex.
func (c *call) beginAttempt(now time.Time, b *booking.Budgets) (booking.Kind, []string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body.Taken() {
		c.state.MarkBodyConsumed()
	}
	kind, ok := c.state.Begin(now, b)
	return kind, c.tried, ok && c.winner == nil
}

// triedServers returns the servers that were tried.
func (c *call) triedServers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tried
}

// endAttempt records the outcome of an attempt.
func (c *call) endAttempt(outcome mustardsaddle.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.End(outcome)
}

// endUnsentAttempt records the end of an attempt that found no connection.
func (c *call) endUnsentAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.EndUnsent()
}

// finalRefusal returns the refusal that ends the call, with the outcome of all
// attempts.
func (c *call) finalRefusal(refused *refusal.Refusal) *refusal.Refusal {
	c.mu.Lock()
	outcome := c.state.Outcome()
	c.mu.Unlock()
	switch {
	case c.endedByStop():
		refused = &refusal.Refusal{Code: code.CallStopping}
	case refused.Code == code.OK:
		refused = &refusal.Refusal{Code: code.CallDeadline}
	}
	now := time.Now()
	retryAfter := max(refused.RetryAfter, c.match.controller.RetryAfter(now), c.lostRetryAfter(now))
	return &refusal.Refusal{Code: refused.Code, Outcome: outcome, RetryAfter: retryAfter}
}

// send sends an attempt. An attempt that does not win the call is finished here;
// the relay finishes the winner.
func (c *call) send(a *attempt) {
	a.send(nil)
	if c.setWinner(a) {
		if a.through == nil {
			c.match.controller.RecordLatency(a.latency)
		}
		a.observeResponse()
		return
	}
	a.observeResponse()
	outcome := a.outcome
	if a.err != nil {
		c.checkServer(a.c.r.Context(), a)
	}
	c.logAttempt(a)
	if a.through != nil {
		c.endForward(a)
		a.finish()
		return
	}
	if outcome == mustardsaddle.Ran {
		a.outcome = mustardsaddle.Unknown
		a.cancel(errSuperseded)
	}
	if a.unsent() {
		c.endUnsentAttempt()
	} else {
		c.endAttempt(outcome)
	}
	if errors.Is(context.Cause(a.ctx), errSuperseded) {
		c.match.controller.RecordLatency(a.latency) // a lower bound if canceled before the response
	}
	a.finish()
}

// setWinner reports whether the attempt is the first to be answered. If so, it
// becomes the winner and a hedge in flight is canceled.
func (c *call) setWinner(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.outcome != mustardsaddle.Ran || c.winner != nil {
		return false
	}
	c.winner = a
	c.state.End(mustardsaddle.Ran)
	if c.hedge != nil && c.hedge != a {
		c.hedge.cancel(errSuperseded)
	}
	return true
}

// refuse ends the call with a refusal.
func (c *call) refuse(refused *refusal.Refusal) {
	c.startResponse()
	c.countOutcome(refused.Outcome)
	c.mu.Lock()
	id, sent := c.lastAttemptID, c.state.Sent()
	c.mu.Unlock()
	if carried := c.match.carried; carried != nil {
		refused = refused.WithForward(carried.Gateway, sent-carried.Sent)
	}
	refused.Service, refused.Waited, refused.Digest = c.match.controller.Service, time.Since(c.start), c.suspicion
	refused.Customer = c.match.name()
	c.g.refuse(c.w, c.r, id, refused)
}

// countOutcome counts the outcome of the call, which the gateway of its caller does for a
// call that it has forwarded.
func (c *call) countOutcome(o mustardsaddle.Outcome) {
	if c.match.carried == nil {
		c.match.controller.Metrics.Outcomes[o].Inc(1)
	}
}

// startResponse stops the deadline timer and the relay of 1xx responses. From here
// on, only the final response uses the response writer. It is the last one on a connection of HTTP/1 whose
// context has ended, since that is also the context of the requests behind it.
func (c *call) startResponse() {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseStarted = true
	if c.body.Streamed() {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	}
	if c.r.ProtoMajor == 1 && c.r.Context().Err() != nil {
		c.w.Header().Set("Connection", "close")
	}
}
