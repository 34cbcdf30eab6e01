package booking_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// TestWindowHoldsWhereverItBegins answers the pattern of retries that come in bursts,
// with a clock of day that a property cannot rely on.
func TestWindowHoldsWhereverItBegins(t *testing.T) {
	const span = time.Second
	rapid.Check(t, func(t *rapid.T) {
		bounds := booking.Bounds{
			Share: rapid.Float64Range(0, 1).Draw(t, "Share"),
			Slack: rapid.Float64Range(0, 10).Draw(t, "Slack"),
		}
		w := booking.NewWindow(span)
		var calls, extra []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "Steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "Millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "Call") {
				w.Call(now)
				calls = append(calls, now)
			} else if w.Take(now, bounds) {
				extra = append(extra, now)
				// A window is fullest if it ends with an extra attempt.
				n, m := within(extra, now, span), within(calls, now, span)
				if float64(n) > bounds.Share*float64(m)+bounds.Slack {
					t.Fatalf("got %d extra attempts in a window of %d calls, want at most %+v", n, m, bounds)
				}
			}
		}
	})
}

func within(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if end.Sub(at) < span {
			n++
		}
	}
	return n
}
