package booking_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// TestWindowBoundHoldsForEveryWindow checks the bound over every sliding window for
// random sequences of calls and extra attempts, bursts included. It generates the times,
// because a property test cannot rely on the wall clock.
func TestWindowBoundHoldsForEveryWindow(t *testing.T) {
	const span = time.Second
	rapid.Check(t, func(t *rapid.T) {
		bounds := drawBounds(t)
		w := booking.NewWindow(span)
		w.SetBounds(start, bounds)
		var calls, extra []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "Steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "Millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "Call") {
				w.RecordCall(now)
				calls = append(calls, now)
			} else if w.Take(now) {
				extra = append(extra, now)
				extraCount, callCount := countWithin(extra, now, span), countWithin(calls, now, span)
				if float64(extraCount) > bounds.Share*float64(callCount)+bounds.Slack {
					t.Fatalf("got %d extra attempts in a window of %d calls, want at most %+v", extraCount, callCount, bounds)
				}
			}
		}
	})
}

// TestWindowHoldsAfterCallsDecrease guards against extra attempts that the calls of an
// earlier window had allowed exceeding the bound of a later window with fewer calls. The
// calls of a window count as the most of those in it, in the one before it, and in the one
// half a window earlier.
func TestWindowHoldsAfterCallsDecrease(t *testing.T) {
	const span = time.Second
	rapid.Check(t, func(t *rapid.T) {
		bounds := drawBounds(t)
		w := booking.NewWindow(span)
		w.SetBounds(start, bounds)
		var calls, extra []time.Time
		now := start
		for range rapid.IntRange(1, 6).Draw(t, "Phases") {
			// In each phase calls come at one rate, and extra attempts are wanted or not.
			interval := time.Duration(rapid.SampledFrom([]int{2, 5, 20, 100}).Draw(t, "Interval")) * time.Millisecond
			wanted := rapid.Bool().Draw(t, "Extra")
			end := now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "Millis")) * time.Millisecond)
			for ; now.Before(end); now = now.Add(interval) {
				w.RecordCall(now)
				calls = append(calls, now)
				if wanted && w.Take(now) {
					extra = append(extra, now)
				}
			}
		}
		for _, from := range extra {
			end := from.Add(span)
			most := max(countBetween(calls, from, end), countBetween(calls, from.Add(-span), from), countBetween(calls, from.Add(-span/2), end.Add(-span/2)))
			if n := countBetween(extra, from, end); float64(n) > bounds.Share*float64(most)+bounds.Slack {
				t.Fatalf("got %d extra attempts in a window of %d calls, want at most %+v", n, most, bounds)
			}
		}
	})
}

func drawBounds(t *rapid.T) booking.Bounds {
	return booking.Bounds{
		Share: rapid.Float64Range(0, 1).Draw(t, "Share"),
		Slack: rapid.Float64Range(0, 10).Draw(t, "Slack"),
	}
}

// countBetween counts the times from the first one to before the end.
func countBetween(times []time.Time, from, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(end) {
			n++
		}
	}
	return n
}

func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if end.Sub(at) < span {
			n++
		}
	}
	return n
}
