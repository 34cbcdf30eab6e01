package store

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Stats counts the calls of a Client since it was made.
type Stats struct {
	// Reads, Watches and Writes are the calls sent to the platform.
	Reads, Watches, Writes int64
	// BytesIn and BytesOut are the bytes of values read and written.
	BytesIn, BytesOut int64
	// Conflicts are conditional writes that found a newer version.
	Conflicts int64
	// Failures are calls without a usable answer.
	Failures int64
	// Refused are calls that the platform refused.
	Refused int64
	// OverBudget are calls not sent because the budget was spent.
	OverBudget int64
	// StatusDropped are status calls not sent to leave room for others.
	StatusDropped int64
	// BackedOff are calls not sent because the circuit breaker was open.
	BackedOff int64
	// Opened is how often the circuit breaker has opened.
	Opened int64
	// State is the state of the circuit breaker.
	State State
}

// Stats returns the present counts.
func (c *Client) Stats() Stats {
	c.core.mu.Lock()
	defer c.core.mu.Unlock()
	s := c.core.stats
	s.Opened, s.State = c.core.breaker.Opened(), c.core.breaker.State()
	return s
}

// admit decides whether a call may go out, and counts it.
func (c *Client) admit(now time.Time, k Kind) error {
	s := c.core
	s.mu.Lock()
	defer s.mu.Unlock()
	// A watch takes long to show anything, so that it can't test a store that failed.
	if k == Watching && s.breaker.State() != Closed || !s.breaker.Allow(now) {
		s.stats.BackedOff++
		return code.Errorf(code.StoreBackoff, "%s: the store failed and is not called yet", k)
	}
	if !s.budget.Take(now, k == Writing, c.use) {
		s.breaker.Cancel(now)
		if c.use == Status {
			s.stats.StatusDropped++
		} else {
			s.stats.OverBudget++
		}
		return code.Errorf(code.StoreBudget, "%s: the call budget is spent", k)
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

// finish counts how a call that went out has ended.
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
