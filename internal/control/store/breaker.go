package store

import (
	"math/rand/v2"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -output=state_string.go

// State is the state of a Breaker.
type State int

const (
	// Closed lets every call through.
	Closed State = iota
	// Open lets none through until its pause has passed.
	Open
	// HalfOpen lets one call through, whose end decides.
	HalfOpen
)

// Backoff describes pauses that double after each failure.
type Backoff struct {
	// Base is the longest first pause.
	Base time.Duration
	// Max is the longest pause.
	Max time.Duration
}

// Delay returns the pause after the given number of failures, at least one. It
// lies at random between half of the full pause and all of it, so that many
// callers that failed together do not return together.
func (b Backoff) Delay(rng *rand.Rand, failures int) time.Duration {
	full := b.Base
	for i := 1; i < failures && full < b.Max; i++ {
		full *= 2
	}
	full = min(full, b.Max)
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}

// Breaker is a circuit breaker: a state machine that decides whether a call may
// go out. A Breaker is not safe for concurrent use.
type Breaker struct {
	// threshold is how many failures in a row open the breaker.
	threshold int
	backoff   Backoff

	state    State
	failures int
	until    time.Time
	opened   int64
}

// NewBreaker returns a closed Breaker that opens after threshold failures in a
// row.
func NewBreaker(threshold int, backoff Backoff) *Breaker {
	return &Breaker{threshold: threshold, backoff: backoff}
}

// State returns the present state.
func (b *Breaker) State() State {
	return b.state
}

// Opened returns how often the breaker has opened.
func (b *Breaker) Opened() int64 {
	return b.opened
}

// Allow reports whether a call may go out now. A call that was allowed must be
// followed by Success, Failure or Cancel.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if now.Before(b.until) {
			return false
		}
		b.state = HalfOpen
		return true
	default:
		return false
	}
}

// Success tells that an allowed call was answered.
func (b *Breaker) Success() {
	b.state = Closed
	b.failures = 0
}

// Failure tells that an allowed call failed.
func (b *Breaker) Failure(now time.Time, rng *rand.Rand) {
	if b.state == Open {
		// A call that went out before the breaker opened has failed too.
		return
	}
	b.failures++
	if b.state == Closed && b.failures < b.threshold {
		return
	}
	b.state = Open
	b.opened++
	b.until = now.Add(b.backoff.Delay(rng, b.failures-b.threshold+1))
}

// Cancel tells that an allowed call was given up by its caller, which says
// nothing about the store.
func (b *Breaker) Cancel(now time.Time) {
	if b.state == HalfOpen {
		b.state = Open
		b.until = now
	}
}
