package booking

import "time"

const (
	// windowIntervals is the number of intervals into which a window is divided for
	// counting.
	windowIntervals = 50
	// keptIntervals is the number of intervals that are kept: the present one, and those of
	// a window and of the one before it.
	keptIntervals = 2*windowIntervals + 1
)

// Bounds limit the extra attempts in a Window.
type Bounds struct {
	// Share is the number of extra attempts allowed per call.
	Share float64
	// Slack is the number of extra attempts allowed beyond the share.
	Slack float64
}

// Window limits the extra attempts in every sliding window of time to Share × the calls
// + Slack, where the calls are the most of those in the window, in the window before it,
// and in the window that begins half a window earlier. An extra attempt must not rely on
// calls that a later window containing it will no longer count, nor on calls to come.
// Therefore the bound is checked for each window that contains the present time, with the
// calls so far. In addition it holds, with the calls in the window alone, for the window
// that ends at an extra attempt.
//
// Time is counted in intervals. Calls of an interval that may lie partly outside a window
// do not count, and extra attempts of such an interval do. A Window is not safe for
// concurrent use.
type Window struct {
	span time.Duration
	// start is the time of the first event. Intervals are numbered by the time elapsed
	// since then, so that a step of the wall clock cannot empty the window.
	start     time.Time
	intervals [keptIntervals]windowInterval
}

// windowInterval holds the counts of one interval.
type windowInterval struct {
	number int64
	calls  int
	extra  int
}

// NewWindow returns an empty Window of the given length.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span}
}

// RecordCall records a call.
func (w *Window) RecordCall(now time.Time) {
	w.intervalAt(now).calls++
}

// forgetCall takes back a call that was recorded at the given time.
func (w *Window) forgetCall(at time.Time) {
	number := int64(max(at.Sub(w.start), 0) / max(w.span/windowIntervals, 1))
	interval := &w.intervals[number%keptIntervals]
	if interval.number == number && interval.calls > 0 {
		interval.calls--
	}
}

// Take records an extra attempt if the bounds allow it, and returns false otherwise.
func (w *Window) Take(now time.Time, b Bounds) bool {
	current := w.intervalAt(now)
	// calls[age] is the number of calls in the intervals younger than age.
	var calls [keptIntervals + 1]int
	for age := range keptIntervals {
		calls[age+1] = calls[age] + w.aged(current.number, age).calls
	}
	extra := 0
	for age := range windowIntervals + 1 {
		extra += w.aged(current.number, age).extra
		if float64(extra+1) > b.Share*float64(countedCalls(calls, age))+b.Slack {
			return false
		}
	}
	if float64(extra+1) > b.Share*float64(calls[windowIntervals])+b.Slack {
		return false
	}
	current.extra++
	return true
}

// countedCalls returns the calls that count for any window that begins in the interval of
// the given age, which ends after the present time.
func countedCalls(calls [keptIntervals + 1]int, age int) int {
	const half = windowIntervals / 2
	within := calls[age]
	before := calls[age+windowIntervals] - calls[age+1]
	around := calls[age+half] - calls[max(age-half+1, 0)]
	return max(within, before, around)
}

// Spending is what a Window has counted in the window that ends at the time of a decision.
type Spending struct {
	// Calls is the number of calls, and Extra that of extra attempts.
	Calls, Extra int
	// Slack is the number of extra attempts allowed beyond the share.
	Slack float64
}

// Spending returns the counts of the window that ends now. The Slack is not set.
func (w *Window) Spending(now time.Time) Spending {
	current := w.intervalAt(now).number
	var s Spending
	for age := range windowIntervals {
		interval := w.aged(current, age)
		s.Calls += interval.calls
		s.Extra += interval.extra
	}
	return s
}

// aged returns the interval that is the given number of intervals older than the present
// one, or an empty one if nothing happened in it.
func (w *Window) aged(present int64, age int) windowInterval {
	number := present - int64(age)
	if number < 0 {
		return windowInterval{}
	}
	interval := w.intervals[number%keptIntervals]
	if interval.number != number {
		return windowInterval{}
	}
	return interval
}

// intervalAt returns the interval that contains the given time, cleared if it is new.
func (w *Window) intervalAt(now time.Time) *windowInterval {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(max(now.Sub(w.start), 0) / max(w.span/windowIntervals, 1))
	interval := &w.intervals[number%keptIntervals]
	if interval.number != number {
		*interval = windowInterval{number: number}
	}
	return interval
}
