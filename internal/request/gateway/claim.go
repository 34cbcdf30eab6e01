package gateway

import (
	"context"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// IdempotencyKeyHeader is the header by which a caller names a request.
const IdempotencyKeyHeader = "Idempotency-Key"

// Claims keeps claims in the platform's store, so that a request runs at most once
// whichever gateways its caller's retries come to.
type Claims interface {
	// Claim creates the claim of a key for the given call. It returns nil only if
	// this call, and no other, holds the claim from now on.
	Claim(ctx context.Context, service, key, id string) error
}

// claim takes the claim of the request, or returns why it must not be sent.
func (c *call) claim() *refusal {
	key := c.r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		return notRun(code.CallBadRequest)
	}
	if c.g.cfg.Claims == nil {
		return notRun(code.StoreUnavailable)
	}
	if err := c.g.cfg.Claims.Claim(c.r.Context(), c.m.lane.service, key, c.g.nextAttempt()); err != nil {
		return notRun(code.Of(err))
	}
	return nil
}
