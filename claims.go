package mustardsaddle

import "context"

// Claim is the record that one call, and no other, may send a request. A Claim is
// immutable.
type Claim struct {
	// Key identifies the request: a digest of the service and the Idempotency-Key.
	Key string
	// Version is the store's version of the record.
	Version int64
	// Holder is the ID of the call that may send the request.
	Holder string
	// Outcome is what the holder has recorded about the execution of the request.
	// It is Unknown from the creation of the claim on, so that the record is
	// correct even if the holder stops without recording it.
	Outcome Outcome
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
}

// WithOutcome returns a copy of c with the given outcome and status.
func (c Claim) WithOutcome(outcome Outcome, status int) Claim {
	c.Outcome = outcome
	c.Status = status
	return c
}

// ClaimStore stores claims where all gateways see them, so that a request runs at
// most once, whichever gateways receive the retries of its caller. A claim has no
// expiry: a holder that was paused for any length of time is still the only one.
type ClaimStore interface {
	// Acquire claims the request for the holder. If another call holds the claim,
	// it returns that claim and false. After an error the holder must not send the
	// request.
	Acquire(ctx context.Context, service, key, holder string) (Claim, bool, error)
	// RecordOutcome records the outcome of the request. A claim whose outcome is
	// NotRun may be acquired again, so its holder must not send the request after
	// that.
	RecordOutcome(ctx context.Context, c Claim) error
}
