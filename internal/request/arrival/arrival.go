// Package arrival estimates when a caller sent a request for the first time. A caller that
// tries again states how long it still waits, which is less than callers of the same rule
// state at first.
//
// The wait that callers state at first is taken from the longest of the last ones, without a
// few that are longer than usual. It holds as long as one in six requests is a first try.
// Since callers differ, only a wait that is shorter by more than their usual spread shows
// that time has passed, so that Elapsed never exceeds the time by much.
//
// # Usage
//
//	var e arrival.Estimator
//	e.Observe(stated)
//	firstSentAt := now.Add(-e.Elapsed(stated))
//
// An Estimator is a deterministic state machine. The caller must serialize access to it.
package arrival

import (
	"slices"
	"time"
)

const (
	// samples is the number of last waits that are kept, and minSamples that from which they
	// show the usual one.
	samples    = 32
	minSamples = 8
	// longerDivisor sets how many of the waits count as longer than usual: their number
	// divided by it.
	longerDivisor = 7
	// spread is the share by which the first waits of callers may be shorter than the usual
	// one.
	spread = 0.2
)

// Estimator estimates the wait that the callers of one rule state at first. The zero value
// knows none.
type Estimator struct {
	// recent is a ring of the last waits, and n the number of all.
	recent [samples]time.Duration
	n      int
}

// Observe records the wait that a caller has stated.
func (e *Estimator) Observe(stated time.Duration) {
	e.recent[e.n%samples] = stated
	e.n++
}

// Usual returns the wait that callers state at first; 0 if it is unknown.
func (e *Estimator) Usual() time.Duration {
	kept := min(e.n, samples)
	if kept < minSamples {
		return 0
	}
	sorted := e.recent
	slices.Sort(sorted[:kept])
	return sorted[kept-1-kept/longerDivisor]
}

// Elapsed returns how long a caller that states a wait has waited before, at least; 0 if that
// is unknown.
func (e *Estimator) Elapsed(stated time.Duration) time.Duration {
	return max(time.Duration(float64(e.Usual())*(1-spread))-stated, 0)
}
