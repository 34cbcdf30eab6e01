// Package booking implements the retry and hedging policy. A Call is a state machine
// that tracks the attempts of one request. It permits an attempt only if at-most-once
// execution, the deadline, the attempt limit and the budgets allow it, and it derives
// the outcome of the call from the outcomes of its attempts. The package performs no
// I/O and takes the current time as an argument.
//
// # Usage
//
//	call := booking.New(booking.Config{Repeat: mustardsaddle.RepeatNo, Deadline: deadline, MaxAttempts: 3})
//	kind, ok := call.Begin(now, &budgets)
//	...                     // send the attempt
//	call.End(outcome)       // record its outcome
//	if call.Outcome() != mustardsaddle.Ran { ... } // retry with Begin, or refuse
//	if bodyBrokeOff && call.Resume(now, &budgets) { ... } // request the rest
//
// # Invariants
//
// A request that is not idempotent has at most one attempt whose outcome is not
// NotRun. Outcome is NotRun only if every attempt ended as NotRun. No attempt begins
// after one has ended as Ran, but for those of Resume. No more attempts than MaxAttempts are sent,
// whatever their reason.
package booking

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -output=kind_string.go

// maxInFlight is the maximum number of attempts of an idempotent call in flight at
// the same time: one attempt and its hedge.
const maxInFlight = 2

// Kind is the reason for sending an attempt.
type Kind int

const (
	// First is the first attempt of a call.
	First Kind = iota
	// Retry is sent after all earlier attempts have ended.
	Retry
	// Hedge is sent while an earlier attempt is in flight.
	Hedge
)

// Config describes the call.
type Config struct {
	// Repeat says whether the request may be sent more than once.
	Repeat mustardsaddle.Repeat
	// Deadline is when the caller stops waiting for a response header.
	Deadline time.Time
	// MaxAttempts is the maximum number of attempts, hedges included; 0 means one.
	MaxAttempts int
	// Sent is the number of attempts that other gateways have sent to servers before.
	Sent int
	// Bounded is true if Deadline bounds the body of the response too.
	Bounded bool
}

// Call tracks the attempts of one call. It is not safe for concurrent use.
type Call struct {
	cfg      Config
	begun    int
	inFlight int
	// counted is the number of attempts that count towards MaxAttempts.
	counted int
	// unsent is the number of those that found no connection to a server.
	unsent int
	// firstAt is when the first attempt was taken from the budgets.
	firstAt      time.Time
	notRun       int
	ran          bool
	bodyConsumed bool
}

// New returns a call without attempts.
func New(cfg Config) Call {
	return Call{cfg: cfg}
}

// Begin starts another attempt if the policy permits it. If it returns true, the
// attempt counts as in flight until the caller calls End.
func (c *Call) Begin(now time.Time, b *Budgets) (Kind, bool) {
	kind := c.kind()
	if !c.permitted(now) || !b.take(now, kind) {
		return kind, false
	}
	if kind == First {
		c.firstAt = now
	}
	c.begun++
	c.counted++
	c.inFlight++
	return kind, true
}

// Resume counts one more sending of a request whose response has broken off, and reports whether
// the policy permits it. It ends with the response that it continues, so that End is not called.
func (c *Call) Resume(now time.Time, b *Budgets) bool {
	late := c.cfg.Bounded && !now.Before(c.cfg.Deadline)
	if late || c.bodyConsumed || c.cfg.Repeat != mustardsaddle.RepeatYes || c.Sent() >= max(c.cfg.MaxAttempts, 1) || !b.take(now, Retry) {
		return false
	}
	c.counted++
	return true
}

// Withdraw takes back an attempt that was begun and not sent, because another gateway is
// to send it. The budgets forget the call if it was the first attempt: the gateway that
// sends a request counts it.
func (c *Call) Withdraw(b *Budgets) {
	c.begun--
	c.counted--
	c.inFlight--
	if c.cfg.Sent+c.counted == 0 {
		b.forgetCall(c.firstAt)
	}
}

// BeginForward starts an attempt that another gateway makes, if the policy permits it. It
// returns the maximum number of attempts that the other gateway may send. If more than one
// is left, one is kept back in case that gateway is lost.
func (c *Call) BeginForward(now time.Time) (attempts int, ok bool) {
	left := max(c.cfg.MaxAttempts, 1) - c.Sent()
	if left <= 0 || c.inFlight > 0 || !c.mayRepeat(now) {
		return 0, false
	}
	c.begun++
	c.inFlight++
	return max(left-1, 1), true
}

// EndUnsent records the end of an attempt that found no connection to its server.
func (c *Call) EndUnsent() {
	c.unsent++
	c.End(mustardsaddle.NotRun)
}

// EndForward records the outcome of an attempt of another gateway, which sent so many
// attempts to servers.
func (c *Call) EndForward(outcome mustardsaddle.Outcome, sent int) {
	c.counted += sent
	c.End(outcome)
}

// Sent returns the number of attempts that may have reached servers, also by other
// gateways.
func (c *Call) Sent() int {
	return c.cfg.Sent + c.counted - c.unsent
}

// End records the outcome of an attempt in flight.
func (c *Call) End(outcome mustardsaddle.Outcome) {
	c.inFlight--
	switch outcome {
	case mustardsaddle.NotRun:
		c.notRun++
	case mustardsaddle.Ran:
		c.ran = true
	case mustardsaddle.Unknown:
	}
}

// MarkBodyConsumed records that part of the request body has been consumed and is not
// buffered, so that no later attempt can send the whole request.
func (c *Call) MarkBodyConsumed() {
	c.bodyConsumed = true
}

// Outcome returns what is known about the execution of the call, counting an attempt
// in flight as unknown.
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

// Attempts returns the number of attempts begun.
func (c *Call) Attempts() int {
	return c.begun
}

func (c *Call) kind() Kind {
	switch {
	case c.cfg.Sent+c.counted == 0:
		return First
	case c.inFlight > 0:
		return Hedge
	default:
		return Retry
	}
}

// Permitted reports whether the policy permits another attempt, apart from the budgets.
func (c *Call) Permitted(now time.Time) bool { return c.permitted(now) }

func (c *Call) permitted(now time.Time) bool {
	return c.cfg.Sent+c.counted < max(c.cfg.MaxAttempts, 1) && c.mayRepeat(now)
}

// mayRepeat reports whether the request may be sent now, apart from the number of attempts.
func (c *Call) mayRepeat(now time.Time) bool {
	if c.ran || !now.Before(c.cfg.Deadline) {
		return false
	}
	if c.bodyConsumed && c.begun > 0 {
		return false
	}
	if c.cfg.Repeat == mustardsaddle.RepeatYes {
		return c.inFlight < maxInFlight
	}
	return c.Outcome() == mustardsaddle.NotRun
}
