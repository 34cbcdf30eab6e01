// Package drain decides which requests a gateway still takes while it stops.
//
// A stop has three parts. While the platform's load balancer may still send callers, for the
// lag, every request is taken. After that a request is taken only if it ends before the gateway
// does, which its deadline shows. Shortly before the platform kills the process, the calls
// still in flight are ended with a response of the gateway, and then the connections are closed.
//
// # Usage
//
//	p := drain.New(drain.Config{Begun: time.Now(), Lag: 3 * time.Second, Grace: 6 * time.Second})
//	...
//	if !p.Takes(time.Now(), drain.Request{Deadline: deadline}) {
//		// refuse it as not run
//	}
package drain

import "time"

const (
	// marginDivisor sets how long before the end of the grace period the calls in flight are
	// ended: the period divided by marginDivisor.
	marginDivisor = 12
	// maxLagDivisor sets the longest lag: the grace period divided by maxLagDivisor. The other
	// part is left for the calls that were taken in the lag.
	maxLagDivisor = 2
	// flushDivisor sets the part of that time in which the responses to them are sent.
	flushDivisor = 3
	// maxFlush bounds the time in which the responses to the calls that were ended are sent.
	maxFlush = 250 * time.Millisecond
)

// Config describes a stop.
type Config struct {
	// Begun is when the stop begins.
	Begun time.Time
	// Lag is how long the load balancer may still send callers.
	Lag time.Duration
	// Grace is the time from Begun after which the platform kills the process; 0 if it never
	// does.
	Grace time.Duration
}

// Period is the time in which a gateway stops. It is immutable.
type Period struct {
	begun, open, end time.Time
	flush            time.Duration
	limited          bool
}

// New returns the period of a stop.
func New(cfg Config) Period {
	if cfg.Grace <= 0 {
		return Period{begun: cfg.Begun, open: cfg.Begun.Add(cfg.Lag), flush: maxFlush}
	}
	margin := cfg.Grace / marginDivisor
	return Period{
		begun:   cfg.Begun,
		open:    cfg.Begun.Add(min(cfg.Lag, cfg.Grace/maxLagDivisor)),
		end:     cfg.Begun.Add(cfg.Grace - margin),
		flush:   min(maxFlush, margin/flushDivisor),
		limited: true,
	}
}

// Lag returns the time left at now in which new connections are accepted.
func (p Period) Lag(now time.Time) time.Duration {
	return max(p.open.Sub(now), 0)
}

// Left returns the time left at now until the calls in flight are ended, and false if they may
// take as long as they need.
func (p Period) Left(now time.Time) (time.Duration, bool) {
	if !p.limited {
		return 0, false
	}
	return max(p.end.Sub(now), 0), true
}

// Flush returns the longest time in which the responses to the calls that were ended are sent.
func (p Period) Flush() time.Duration {
	return p.flush
}

// Request is what is known about a request that has arrived.
type Request struct {
	// Deadline is when its call ends at the latest.
	Deadline time.Time
	// Unbounded is true if the deadline does not bound the time in which its body is received.
	Unbounded bool
}

// Takes reports whether the gateway takes a request.
func (p Period) Takes(now time.Time, r Request) bool {
	if !p.limited || now.Before(p.open) {
		return true
	}
	return !r.Unbounded && !r.Deadline.After(p.end)
}
