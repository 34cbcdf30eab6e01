package mustardsaddle

import "context"

// Claim is the record that one call, and no other, may send a request. A Claim is
// immutable.
type Claim struct {
	// Key names the request: a digest of service and Idempotency-Key.
	Key string
	// Version is the store's version of the record.
	Version int64
	// Holder is the id of the call that may send the request.
	Holder string
	// Outcome is what the holder has recorded about execution. It is Unknown from
	// the taking of the claim on, so that a holder that ends without a word leaves
	// the truth behind.
	Outcome Outcome
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int
}

// WithOutcome returns a copy of c with what became of the request.
func (c Claim) WithOutcome(outcome Outcome, status int) Claim {
	c.Outcome = outcome
	c.Status = status
	return c
}

// Claims keeps claims where all gateways see them, so that a request runs at most
// once whichever gateways its caller's retries come to. A claim has no time limit:
// a holder that was paused for any time still is the only one.
type Claims interface {
	// Take claims the request for the holder. If another call holds the claim it
	// returns that claim and false. After an error the holder must not send.
	Take(ctx context.Context, service, key, holder string) (Claim, bool, error)
	// Settle records what became of the request. A claim settled as NotRun may be
	// taken again, so its holder must not send after that.
	Settle(ctx context.Context, c Claim) error
}
