package booking

import (
	"math"
	"time"
)

const (
	// windowIntervals is the number of intervals into which a window is divided for
	// counting.
	windowIntervals = 50
	// keptIntervals is the number of intervals that are kept: the present one, and those of
	// a window and of the one before it.
	keptIntervals = 2*windowIntervals + 1
	// withinWeight is the weight of the calls in a window. The rest is that of the calls in
	// the window before it, which allow for some extra attempts at once.
	withinWeight = 0.6
	// slackBurst is the part of the slack of a window that may be used at once. The rest is
	// earned during a window, so that no window contains more than the slack.
	slackBurst = 0.5
)

// Bounds limit the extra attempts in a Window.
type Bounds struct {
	// Share is the number of extra attempts allowed per call.
	Share float64
	// Slack is the number of extra attempts allowed beyond the share.
	Slack float64
}

// Window limits the extra attempts in every sliding window of time to Share × the calls
// + Slack. The calls are a weighted mean of those in the window and those in the one before
// it. As the weights are the same for all gateways and windows, the extra attempts of a
// fleet are limited by the mean of its calls, however callers move from one gateway to
// another. An extra attempt must not rely on calls to come. Therefore the bound is checked
// for each window that contains the present time, with the calls so far. In addition it
// holds, with the calls in the window alone, for the window that ends at an extra attempt.
//
// The slack is a token bucket that is empty at first. A gateway that is restarted again and
// again, without a record of its extra attempts, earns no more of it than one that keeps
// running.
//
// Time is counted in intervals. Calls of an interval that may lie partly outside a window
// do not count, and extra attempts of such an interval do. A Window is not safe for
// concurrent use.
type Window struct {
	span   time.Duration
	bounds Bounds
	// start is the time of the first event. Intervals are numbered by the time elapsed
	// since then, so that a step of the wall clock cannot empty the window.
	start     time.Time
	intervals [keptIntervals]windowInterval
	// slack is the number of tokens of the slack at slackAt.
	slack   float64
	slackAt time.Time
}

// windowInterval holds the counts of one interval.
type windowInterval struct {
	number int64
	calls  int
	extra  int
	// shared is the part of the extra attempts that was taken from the share.
	shared float64
}

// NewWindow returns an empty Window of the given length, which allows no extra attempt
// before SetBounds.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span}
}

// SetBounds changes the bounds. What the slack has earned before is kept up to the new
// bound.
func (w *Window) SetBounds(now time.Time, b Bounds) {
	w.earn(now)
	w.bounds = b
	w.slack = min(w.slack, b.Slack*slackBurst)
}

// earn adds the slack that was earned since the last call.
func (w *Window) earn(now time.Time) {
	elapsed := max(now.Sub(w.slackAt), 0)
	if w.slackAt.IsZero() {
		elapsed = 0
	}
	w.slackAt = now
	earned := w.bounds.Slack * (1 - slackBurst) * min(elapsed.Seconds()/w.span.Seconds(), 1)
	w.slack = min(w.slack+earned, w.bounds.Slack*slackBurst)
}

// RecordCall records a call.
func (w *Window) RecordCall(now time.Time) {
	w.intervalAt(now).calls++
}

// forgetCall takes back a call that was recorded at the given time.
func (w *Window) forgetCall(at time.Time) {
	number := w.intervalNumber(at)
	interval := &w.intervals[number%keptIntervals]
	if interval.number == number && interval.calls > 0 {
		interval.calls--
	}
}

// Take records an extra attempt if the bounds allow it, and returns false otherwise. What
// the share does not cover is taken from the slack.
func (w *Window) Take(now time.Time) bool {
	current := w.intervalAt(now)
	w.earn(now)
	unspent, within := w.unspent(current.number)
	shared := min(max(unspent, 0), 1)
	if within < 1 || 1-shared > w.slack {
		return false
	}
	w.slack -= 1 - shared
	current.extra++
	current.shared += shared
	return true
}

// unspent returns the number of extra attempts that the share allows now, and the number
// that the window which ends now allows with its own calls and the whole slack.
func (w *Window) unspent(present int64) (shared, within float64) {
	// calls[age] is the number of calls in the intervals younger than age.
	var calls [keptIntervals + 1]int
	for age := range keptIntervals {
		calls[age+1] = calls[age] + w.aged(present, age).calls
	}
	shared = math.Inf(1)
	taken, extra := 0.0, 0
	for age := range windowIntervals + 1 {
		interval := w.aged(present, age)
		taken += interval.shared
		extra += interval.extra
		shared = min(shared, w.bounds.Share*countedCalls(calls, age)-taken)
	}
	return shared, w.bounds.Share*float64(calls[windowIntervals]) + w.bounds.Slack - float64(extra)
}

// countedCalls returns the calls that count for any window that begins in the interval of
// the given age, which ends after the present time. Calls of that interval are either in the
// window or in the one before it, and count with the lower weight.
func countedCalls(calls [keptIntervals + 1]int, age int) float64 {
	within, either := calls[age], calls[age+1]-calls[age]
	before := calls[age+windowIntervals] - calls[age+1]
	return withinWeight*float64(within) + (1-withinWeight)*float64(before) + min(withinWeight, 1-withinWeight)*float64(either)
}

// Spending is what a Window has counted in the window that ends at the time of a decision.
type Spending struct {
	// Calls is the number of calls, and Extra that of extra attempts.
	Calls, Extra int
	// Slack is the number of extra attempts that the slack allows now.
	Slack float64
}

// Spending returns the counts of the window that ends now.
func (w *Window) Spending(now time.Time) Spending {
	current := w.intervalAt(now).number
	w.earn(now)
	s := Spending{Slack: w.slack}
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
	number := w.intervalNumber(now)
	interval := &w.intervals[number%keptIntervals]
	if interval.number != number {
		*interval = windowInterval{number: number}
	}
	return interval
}

func (w *Window) intervalNumber(at time.Time) int64 {
	return int64(max(at.Sub(w.start), 0) / max(w.span/windowIntervals, 1))
}
