package booking

import "time"

// windowIntervals is the number of intervals into which a window is divided for counting.
const windowIntervals = 50

// Bounds limit the extra attempts in a Window.
type Bounds struct {
	// Share is the number of extra attempts allowed per call.
	Share float64
	// Slack is the number of extra attempts allowed beyond the share.
	Slack float64
}

// Window limits the extra attempts in every sliding window of time to Share × the calls
// in the window + Slack. Extra attempts are counted over one interval more than calls,
// so that the limit holds for every window, including those that begin within an
// interval. A Window is not safe for concurrent use.
type Window struct {
	span time.Duration
	// start is the time of the first event. Intervals are numbered by the time elapsed
	// since then, so that a step of the wall clock cannot empty the window.
	start     time.Time
	intervals [windowIntervals + 1]windowInterval
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

// Take records an extra attempt if the bounds allow it, and returns false otherwise.
func (w *Window) Take(now time.Time, b Bounds) bool {
	current := w.intervalAt(now)
	calls, extra := 0, 0
	for _, interval := range w.intervals {
		age := current.number - interval.number
		if age > windowIntervals {
			continue
		}
		extra += interval.extra
		if age < windowIntervals {
			calls += interval.calls
		}
	}
	if float64(extra+1) > b.Share*float64(calls)+b.Slack {
		return false
	}
	current.extra++
	return true
}

// intervalAt returns the interval that contains the given time, cleared if it is new.
func (w *Window) intervalAt(now time.Time) *windowInterval {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(max(now.Sub(w.start), 0) / max(w.span/windowIntervals, 1))
	interval := &w.intervals[number%int64(len(w.intervals))]
	if interval.number != number {
		*interval = windowInterval{number: number}
	}
	return interval
}
