package store

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Stats holds the statistics of a Client and of those derived from it with WithUse.
type Stats struct {
	// Reads, Watches and Writes count the calls sent to the platform.
	Reads, Watches, Writes int64
	// BytesIn and BytesOut count the bytes of response and request bodies.
	BytesIn, BytesOut int64
	// Conflicts counts conditional writes that found a newer version.
	Conflicts int64
	// Failures counts calls without a usable response.
	Failures int64
	// Refused counts calls that the platform refused.
	Refused int64
	// OverBudget counts calls not sent because of the rate limit, except status calls.
	OverBudget int64
	// StatusDropped counts status calls not sent because of the rate limit, part of which
	// is reserved for the rules.
	StatusDropped int64
	// BackedOff counts calls not sent because the circuit breaker did not allow them.
	BackedOff int64
	// Opened counts how many times the circuit breaker has opened.
	Opened int64
	// State is the current state of the circuit breaker.
	State State
}

// Stats returns the current statistics.
func (c *Client) Stats() Stats {
	c.core.mu.Lock()
	defer c.core.mu.Unlock()
	s := c.core.stats
	s.Opened, s.State = c.core.breaker.Opened(), c.core.breaker.State()
	return s
}

// admit checks the circuit breaker and the budget. It returns an error if the call may
// not be sent, and updates the statistics in either case.
func (c *Client) admit(now time.Time, k Kind) error {
	s := c.core
	s.mu.Lock()
	defer s.mu.Unlock()
	// A watch can stay open for long without a response, so it is not used as the trial
	// call of a half-open breaker.
	if k == Watching && s.breaker.State() != Closed || !s.breaker.Allow(now) {
		s.stats.BackedOff++
		return code.Errorf(code.StoreBackoff, "%s: the store failed and its circuit breaker does not allow the call yet", k)
	}
	if !s.budget.Take(now, k == Writing, c.use) {
		s.breaker.Cancel(now)
		if c.use == Status {
			s.stats.StatusDropped++
		} else {
			s.stats.OverBudget++
		}
		return code.Errorf(code.StoreBudget, "%s: the rate limit of store calls is exceeded", k)
	}
	switch k {
	case Reading:
		s.stats.Reads++
	case Watching:
		s.stats.Watches++
	case Writing:
		s.stats.Writes++
	}
	return nil
}

// finish records the result of a call that was sent.
func (c *Client) finish(now time.Time, err error, canceled bool, in, out int) {
	s := c.core
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.BytesIn += int64(in)
	s.stats.BytesOut += int64(out)
	switch code.Of(err) {
	case code.OK:
		s.breaker.Success()
	case code.StoreUnavailable, code.StoreRefused:
		if canceled {
			s.breaker.Cancel(now)
			return
		}
		if code.Of(err) == code.StoreRefused {
			s.stats.Refused++
		} else {
			s.stats.Failures++
		}
		s.breaker.Failure(now, s.rng)
	default:
		s.breaker.Success()
	}
}
