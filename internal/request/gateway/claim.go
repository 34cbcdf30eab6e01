package gateway

import (
	"context"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// IdempotencyKeyHeader is the request header with the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// settleTimeout bounds the time to record the outcome of a claimed request.
const settleTimeout = 2 * time.Second

// acquireClaim claims the request's idempotency key, or returns why the request
// must not be sent. It is the only store operation that a call waits for before
// its response.
func (c *call) acquireClaim() *refusal.Refusal {
	key := c.r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		return refusal.NotRun(code.CallBadRequest)
	}
	if c.g.cfg.Claims == nil {
		return refusal.NotRun(code.StoreUnavailable)
	}
	if c.match.customer != nil {
		// The keys of two customers are independent. No header contains a line feed.
		key = c.match.customer.Name + "\n" + key
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	claim, held, err := c.g.cfg.Claims.Acquire(ctx, c.match.controller.Service, key, c.g.nextAttempt())
	if err != nil {
		return refusal.NotRun(code.Of(err))
	}
	if !held {
		return &refusal.Refusal{Code: code.CallClaimed, Outcome: claim.Outcome}
	}
	c.claim = &claim
	return nil
}

// recordClaimOutcome records the outcome of a claimed request after the caller
// has its response. If that fails, the stored outcome stays Unknown, which is
// never wrong. It does not wait for the store longer than the end of the response may; the
// gateway does, since the record counts as a call in flight.
func (c *call) recordClaimOutcome() {
	if c.claim == nil {
		return
	}
	c.mu.Lock()
	outcome, winner := c.state.Outcome(), c.winner
	c.mu.Unlock()
	status := 0
	if winner != nil {
		status = winner.resp.StatusCode
	}
	_ = http.NewResponseController(c.w).Flush()
	now := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), settleTimeout)
	done := make(chan struct{})
	c.g.inFlight.Add(1)
	go func() {
		defer c.g.inFlight.Add(-1)
		defer cancel()
		defer close(done)
		c.g.storeOutcome(ctx, c.claim.WithOutcome(outcome, status))
	}()
	timer := time.NewTimer(c.endLimit(now, settleTimeout).Sub(now))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	c.g.extendWriteDeadline(c.w) // for the end of the response
}

// storeOutcome stores the outcome of a claimed request.
func (g *Gateway) storeOutcome(ctx context.Context, claim mustardsaddle.Claim) {
	if err := g.cfg.Claims.RecordOutcome(ctx, claim); err != nil {
		event.Warn(g.cfg.Logger, event.StoreFailed).Str("Key", claim.Key).Err(err).Send()
	}
}
