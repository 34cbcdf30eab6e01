package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// told is a chooser that passes on how attempts ended.
type told struct {
	mustardsaddle.Chooser
	results chan mustardsaddle.Result
}

func (c told) Finish(now time.Time, r mustardsaddle.Result) {
	c.Chooser.Finish(now, r)
	c.results <- r
}

// TestCallerLeavesAtItsDeadline answers the pattern of servers that hang while their
// health is good: callers leave when their time is over, a moment before the gateway's
// own deadline passes, and the server has to be blamed all the same.
func TestCallerLeavesAtItsDeadline(t *testing.T) {
	for _, c := range []struct {
		name            string
		waits, deadline time.Duration
		failed          bool
	}{
		{"at the end of its time", 980 * time.Millisecond, time.Second, true},
		{"early", 50 * time.Millisecond, time.Minute, false},
	} {
		release := make(chan struct{})
		j := newJudge(t, func(http.ResponseWriter, *http.Request) { <-release })
		results := make(chan mustardsaddle.Result, 1)
		front, _ := newGateway(t, gateway.Config{
			Deadline: c.deadline,
			Admission: admission.Options{
				HedgeShare: -1,
				NewChooser: func(string) mustardsaddle.Chooser { return told{bench.New(bench.Config{}), results} },
			},
		}, j.address())
		ctx, cancel := context.WithTimeout(context.Background(), c.waits)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+"/bookings", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := front.Client().Transport.RoundTrip(r); err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		got := <-results
		if got.Failed != c.failed || got.Canceled == c.failed {
			t.Errorf("caller leaves %s: got %+v, want failed %v and else canceled", c.name, got, c.failed)
		}
		close(release)
	}
}
