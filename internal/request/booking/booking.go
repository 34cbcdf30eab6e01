// Package booking decides how often one call is sent. A Call is a state machine
// of the attempts of one request: it permits an attempt only while the promise of
// at most once, the deadline and the budgets allow it, and it says what is known
// about execution. It performs no I/O; the present time is an argument.
//
// # Usage
//
//	call := booking.New(booking.Config{Repeat: mustardsaddle.RepeatNo, Deadline: deadline, MaxAttempts: 3})
//	kind, ok := call.Begin(now, &budgets)
//	...                     // send the attempt
//	call.End(outcome)       // classify it
//	if call.Outcome() != mustardsaddle.Ran { ... } // retry through Begin, or refuse
//
// # Invariants
//
// A request that is not idempotent has at most one attempt whose outcome is not
// NotRun. Outcome is NotRun only if every attempt ended NotRun. No attempt begins
// after one ended Ran.
package booking

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -output=kind_string.go

// maxConcurrent is the number of attempts of an idempotent call that may be
// open at a time: the first and its hedge.
const maxConcurrent = 2

// Kind says why an attempt is sent.
type Kind int

const (
	// First is the first attempt of a call.
	First Kind = iota
	// Retry follows an attempt that ended.
	Retry
	// Hedge runs beside an attempt that has not ended.
	Hedge
)

// Config describes the call.
type Config struct {
	// Repeat says whether the request may be sent more than once.
	Repeat mustardsaddle.Repeat
	// Deadline is when the caller no longer waits for a response header.
	Deadline time.Time
	// MaxAttempts bounds the attempts of the call; 0 means one.
	MaxAttempts int
}

// Call is the state of one call. It is not safe for concurrent use.
type Call struct {
	cfg    Config
	begun  int
	open   int
	notRun int
	ran    bool
	spent  bool
}

// New returns a call without attempts.
func New(cfg Config) Call {
	return Call{cfg: cfg}
}

// Begin asks for one more attempt. When it returns true the attempt counts as
// open, and the caller must End it.
func (c *Call) Begin(now time.Time, b *Budgets) (Kind, bool) {
	kind := c.kind()
	if !c.permitted(now) || !b.take(now, kind) {
		return kind, false
	}
	c.begun++
	c.open++
	return kind, true
}

// End tells what became of an open attempt.
func (c *Call) End(outcome mustardsaddle.Outcome) {
	c.open--
	switch outcome {
	case mustardsaddle.NotRun:
		c.notRun++
	case mustardsaddle.Ran:
		c.ran = true
	case mustardsaddle.Unknown:
	}
}

// SpendBody tells that bytes of the request's body are gone, so that no later
// attempt could send the request whole.
func (c *Call) SpendBody() {
	c.spent = true
}

// Outcome returns what is known about the call if it is given up now.
func (c *Call) Outcome() mustardsaddle.Outcome {
	switch {
	case c.ran:
		return mustardsaddle.Ran
	case c.begun == c.notRun:
		return mustardsaddle.NotRun
	default:
		return mustardsaddle.Unknown
	}
}

// Attempts returns how many attempts were begun.
func (c *Call) Attempts() int {
	return c.begun
}

func (c *Call) kind() Kind {
	switch {
	case c.begun == 0:
		return First
	case c.open > 0:
		return Hedge
	default:
		return Retry
	}
}

func (c *Call) permitted(now time.Time) bool {
	if c.ran || !now.Before(c.cfg.Deadline) || c.begun >= max(c.cfg.MaxAttempts, 1) {
		return false
	}
	if c.spent && c.begun > 0 {
		return false
	}
	if c.cfg.Repeat == mustardsaddle.RepeatYes {
		return c.open < maxConcurrent
	}
	return c.Outcome() == mustardsaddle.NotRun
}
