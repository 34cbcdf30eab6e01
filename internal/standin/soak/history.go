package soak

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// CallKind is a kind of call.
type CallKind int

const (
	// Read is an idempotent call with a small response.
	Read CallKind = iota
	// Booking is a call that must run at most once, and that its caller sends once.
	Booking
	// Claimed is a call that must run at most once, although its caller may send
	// it again with the same idempotency key through any gateway.
	Claimed
	// Download is an idempotent call with a large response.
	Download
)

// AtMostOnce reports whether calls of this kind must run at most once.
func (k CallKind) AtMostOnce() bool {
	return k == Booking || k == Claimed
}

// End is how a call ended for its caller.
type End int

const (
	// Answered means that a complete response was received.
	Answered End = iota
	// Cut means that the response body ended early.
	Cut
	// Broken means that the connection failed before a response.
	Broken
	// TimedOut means that the caller's timeout expired.
	TimedOut
	// GaveUp means that the caller abandoned the call early on purpose.
	GaveUp
)

// Call is one call as seen by its caller.
type Call struct {
	// ID is the caller's request ID, and Try counts the sends of that request
	// from 0.
	ID  string
	Try int
	// Kind is the kind of call, and Gateway the index of the gateway.
	Kind    CallKind
	Gateway int
	// NewConn is true if the call was the first on its connection.
	NewConn bool
	// Sent and Ended are when the call began and ended.
	Sent, Ended time.Time
	// End, Status and Outcome are the result that the caller saw.
	End     End
	Status  int
	Outcome mustardsaddle.Outcome
	// HasOutcome is true if the response stated an outcome.
	HasOutcome bool
	// NoLength is true if the response stated no length.
	NoLength bool
	// BodyMatches is true if the body is the expected response to this request.
	BodyMatches bool
}

// reportedRan reports whether the caller got a complete response that states
// Ran.
func (c Call) reportedRan() bool {
	return c.End == Answered && c.HasOutcome && c.Outcome == mustardsaddle.Ran
}

// FaultWindow is a time during which faults affect a gateway or the link to it,
// so that calls through it may fail or be late.
type FaultWindow struct {
	// Gateway is the index of the gateway, and From and To bound the window.
	Gateway  int
	From, To time.Time
	// MayFail means that calls in the window may fail, and MayDelay that they
	// may be late.
	MayFail, MayDelay bool
	// SentWithin restricts the window to calls that were sent within it, and
	// NewConnOnly to calls on new connections.
	SentWithin, NewConnOnly bool
}

// appliesTo reports whether the window covers a call.
func (w FaultWindow) appliesTo(c Call) bool {
	if w.Gateway != c.Gateway || c.Sent.After(w.To) || w.NewConnOnly && !c.NewConn {
		return false
	}
	if w.SentWithin {
		return !c.Sent.Before(w.From)
	}
	return !c.Ended.Before(w.From)
}

// History is everything that callers and servers recorded during a run.
type History struct {
	Calls []Call
	// Executions are the requests that servers ran, and Refusals those that they refused.
	Executions, Refusals []server.Execution
	FaultWindows         []FaultWindow
	// Leavings are the times during which servers stated that they were leaving, Limitings
	// those during which they stated a limit, and
	// Interruptions the faults of gateways that excuse them from heeding this.
	Leavings      []Leaving
	Limitings     []Limiting
	Interruptions []Interruption
}

// Leaving is a time during which a server stated in its responses that it was leaving.
type Leaving struct {
	// Server is the name of the server.
	Server   string
	From, To time.Time
}

// Limiting is a time during which a server stated a limit in its responses.
type Limiting struct {
	// Server is the name of the server.
	Server   string
	From, To time.Time
	// PerSecond is the limit, in requests per second.
	PerSecond float64
}

// Interruption is a time during which a gateway was stopped, killed, restarted or frozen.
type Interruption struct {
	// Gateway is the index of the gateway.
	Gateway  int
	From, To time.Time
}
