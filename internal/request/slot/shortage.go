package slot

import "time"

const (
	// shortageMemory is how long a service counts as short of servers after a call that could
	// still meet its target has found none.
	shortageMemory = 200 * time.Millisecond
	// minReturnDivisor and maxReturnDivisor bound the delay of a late call that is refused in a
	// shortage: the time to its deadline divided by them. Callers that were refused together
	// return spread over the time between.
	minReturnDivisor = 3
	maxReturnDivisor = 6
)

// RecordShortage records that a call found no server.
func (q *Queue) RecordShortage(now time.Time, e Entry) {
	if q.cfg.LateLast && !e.Target.IsZero() && q.meetsTarget(now, e) {
		q.shortUntil = now.Add(shortageMemory)
	}
}

// RefuseLate reports whether a call that can no longer meet its target is to be refused, because
// calls that still can have just found no server, and returns the Retry-After delay. Random
// is a number from 0 to 1 by which the callers' returns are spread.
func (q *Queue) RefuseLate(now time.Time, e Entry, random float64) (time.Duration, bool) {
	if !q.cfg.LateLast || e.Target.IsZero() || !now.Before(q.shortUntil) || q.meetsTarget(now, e) {
		return 0, false
	}
	left := e.Deadline.Sub(now)
	first, last := left/maxReturnDivisor, left/minReturnDivisor
	if first < q.cfg.MinRetryAfter {
		return 0, false // the caller could not return in time
	}
	return first + time.Duration(random*float64(last-first)), true
}
