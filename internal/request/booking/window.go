package booking

import "time"

// windowParts is how many parts a window is counted in.
const windowParts = 50

// Bounds are the extra attempts that a Window allows.
type Bounds struct {
	// Share is the number of extra attempts that one call earns.
	Share float64
	// Slack is the number of extra attempts beyond the share.
	Slack float64
}

// Window bounds extra attempts in every sliding window of time: at most Share × the
// calls of the window + Slack. The window that is counted is up to one part
// longer for extra attempts than for calls, so that the bound holds wherever a
// window begins. A Window is not safe for concurrent use.
type Window struct {
	span time.Duration
	// start is the time of the first count, so that a step of the clock of day
	// cannot empty the window.
	start time.Time
	parts [windowParts + 1]windowPart
}

// windowPart counts one part of the time.
type windowPart struct {
	number int64
	calls  int
	extra  int
}

// NewWindow returns a Window of the given length without calls.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span}
}

// Call counts a call.
func (w *Window) Call(now time.Time) {
	w.at(now).calls++
}

// Take spends one extra attempt, or returns false.
func (w *Window) Take(now time.Time, b Bounds) bool {
	current := w.at(now)
	calls, extra := 0, 0
	for _, p := range w.parts {
		age := current.number - p.number
		if age > windowParts {
			continue
		}
		extra += p.extra
		if age < windowParts {
			calls += p.calls
		}
	}
	if float64(extra+1) > b.Share*float64(calls)+b.Slack {
		return false
	}
	current.extra++
	return true
}

// at returns the part that counts at the given time.
func (w *Window) at(now time.Time) *windowPart {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(max(now.Sub(w.start), 0) / max(w.span/windowParts, 1))
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = windowPart{number: number}
	}
	return p
}
