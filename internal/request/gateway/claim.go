package gateway

import (
	"context"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// IdempotencyKeyHeader is the header by which a caller names a request.
const IdempotencyKeyHeader = "Idempotency-Key"

// settleTimeout bounds the recording of what became of a claimed request.
const settleTimeout = 2 * time.Second

// takeClaim claims a request, or returns why it must not be sent. The claim is all
// that a call ever waits for in the store.
func (c *call) takeClaim() *refusal {
	key := c.r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		return notRun(code.CallBadRequest)
	}
	if c.g.cfg.Claims == nil {
		return notRun(code.StoreUnavailable)
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	claim, held, err := c.g.cfg.Claims.Take(ctx, c.m.lane.service, key, c.g.nextAttempt())
	if err != nil {
		return notRun(code.Of(err))
	}
	if !held {
		return &refusal{code: code.CallClaimed, outcome: claim.Outcome}
	}
	c.claim = &claim
	return nil
}

// settleClaim records what became of a claimed request, once its caller has the
// answer. If that fails the claim goes on saying Unknown, which is never false.
func (c *call) settleClaim() {
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), settleTimeout)
	defer cancel()
	if err := c.g.cfg.Claims.Settle(ctx, c.claim.WithOutcome(outcome, status)); err != nil {
		event.Warn(c.g.cfg.Logger, event.StoreFailed).Str("Key", c.claim.Key).Err(err).Send()
	}
}
