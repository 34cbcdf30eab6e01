package store

import (
	"math/rand/v2"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -output=state_string.go

// State is the state of a Breaker.
type State int

const (
	// Closed allows every call.
	Closed State = iota
	// Open allows no call until the backoff delay has passed.
	Open
	// HalfOpen has allowed one trial call, whose result closes or reopens the breaker.
	HalfOpen
)

// Backoff configures an exponential backoff with jitter. The delay doubles after each
// failure.
type Backoff struct {
	// Base is the first delay before jitter.
	Base time.Duration
	// Max is the maximum delay.
	Max time.Duration
}

// Delay returns the delay after the given number of failures, which is at least one. It
// is chosen at random between half of the full delay and all of it, so that clients that
// failed at the same time do not retry at the same time.
func (b Backoff) Delay(rng *rand.Rand, failures int) time.Duration {
	full := b.Base
	for i := 1; i < failures && full < b.Max; i++ {
		full *= 2
	}
	full = min(full, b.Max)
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}

// Breaker is a circuit breaker: a state machine that decides whether a call may be sent.
// A Breaker is not safe for concurrent use.
type Breaker struct {
	// threshold is the number of consecutive failures that opens the breaker.
	threshold int
	backoff   Backoff

	state    State
	failures int
	retryAt  time.Time
	opened   int64
}

// NewBreaker returns a closed Breaker that opens after threshold consecutive failures.
func NewBreaker(threshold int, backoff Backoff) *Breaker {
	return &Breaker{threshold: threshold, backoff: backoff}
}

// State returns the current state.
func (b *Breaker) State() State {
	return b.state
}

// Opened returns how many times the breaker has opened.
func (b *Breaker) Opened() int64 {
	return b.opened
}

// Allow reports whether a call may be sent now. The caller must report the result of an
// allowed call with Success, Failure or Cancel.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if now.Before(b.retryAt) {
			return false
		}
		b.state = HalfOpen
		return true
	default:
		return false
	}
}

// Success records that an allowed call received a response. It closes the breaker.
func (b *Breaker) Success() {
	b.state = Closed
	b.failures = 0
}

// Failure records that an allowed call failed.
func (b *Breaker) Failure(now time.Time, rng *rand.Rand) {
	if b.state == Open {
		// The call was sent before the breaker opened.
		return
	}
	b.failures++
	if b.state == Closed && b.failures < b.threshold {
		return
	}
	b.state = Open
	b.opened++
	b.retryAt = now.Add(b.backoff.Delay(rng, b.failures-b.threshold+1))
}

// Cancel records that an allowed call was canceled by its caller or not sent, which
// gives no information about the store. A half-open breaker then allows another trial
// call.
func (b *Breaker) Cancel(now time.Time) {
	if b.state == HalfOpen {
		b.state = Open
		b.retryAt = now
	}
}
