package soak

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// CallKind is a kind of call.
type CallKind int

const (
	// Read is idempotent and has a small answer.
	Read CallKind = iota
	// Booking must not be repeated.
	Booking
	// Claimed must not be repeated either, but its caller may send it again under
	// one key, through any gateway.
	Claimed
	// Download is idempotent and has a large answer.
	Download
)

// Once reports whether calls of this kind may run once at most.
func (k CallKind) Once() bool {
	return k == Booking || k == Claimed
}

// End says what a caller saw of a call.
type End int

const (
	// Answered is a whole answer.
	Answered End = iota
	// Cut is an answer whose body broke off.
	Cut
	// Broken is a connection that ended before an answer.
	Broken
	// TimedOut is no answer within the caller's own patience.
	TimedOut
	// GaveUp is a caller that left before its time.
	GaveUp
)

// Call is one call that a caller made.
type Call struct {
	// ID is the caller's name of the request, and Try counts its sends from 0.
	ID  string
	Try int
	// Kind is the kind of call, and Gateway the number of the gateway.
	Kind    CallKind
	Gateway int
	// Fresh tells that the call was the first on its connection.
	Fresh bool
	// Sent and Ended bound the call.
	Sent, Ended time.Time
	// End, Status and Outcome are what the caller saw.
	End     End
	Status  int
	Outcome mustardsaddle.Outcome
	// Stated tells whether the answer stated an outcome.
	Stated bool
	// Own tells whether the body is the answer to this very request.
	Own bool
}

// ran reports whether the caller got a server's answer that says so.
func (c Call) ran() bool {
	return c.End == Answered && c.Stated && c.Outcome == mustardsaddle.Ran
}

// Trouble is a time in which a gateway, or the way to it, was disturbed.
type Trouble struct {
	// Gateway is the number of the gateway, and From and To bound the time.
	Gateway  int
	From, To time.Time
	// Breaks tells that calls may break in this time, and Delays that they may be
	// late.
	Breaks, Delays bool
	// FromSend restricts the trouble to calls that were sent in this time, and Fresh
	// to those on new connections.
	FromSend, Fresh bool
}

// covers reports whether a call ran into the trouble.
func (t Trouble) covers(c Call) bool {
	if t.Gateway != c.Gateway || c.Sent.After(t.To) || t.Fresh && !c.Fresh {
		return false
	}
	if t.FromSend {
		return !c.Sent.Before(t.From)
	}
	return !c.Ended.Before(t.From)
}

// History is all that callers and servers saw.
type History struct {
	Calls      []Call
	Executions []server.Execution
	Troubles   []Trouble
}
