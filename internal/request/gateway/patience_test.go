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

// resultChooser is a chooser that also sends the result of each attempt to a
// channel.
type resultChooser struct {
	mustardsaddle.Chooser
	results chan mustardsaddle.Result
}

func (c resultChooser) Finish(now time.Time, r mustardsaddle.Result) {
	c.Chooser.Finish(now, r)
	c.results <- r
}

// TestCallerCancelsAtDeadline guards against servers that hang while they look
// healthy. Callers cancel at their own deadline, shortly before the gateway's
// deadline passes, and the attempt must count as a failure of the server all the
// same.
func TestCallerCancelsAtDeadline(t *testing.T) {
	for _, c := range []struct {
		name                    string
		callerTimeout, deadline time.Duration
		failed                  bool
	}{
		{"at its deadline", 980 * time.Millisecond, time.Second, true},
		{"early", 50 * time.Millisecond, time.Minute, false},
	} {
		release := make(chan struct{})
		s := newCountingServer(t, func(http.ResponseWriter, *http.Request) { <-release })
		results := make(chan mustardsaddle.Result, 1)
		front, _ := newGateway(t, gateway.Config{
			Deadline: c.deadline,
			Admission: admission.Options{
				HedgeShare: -1,
				NewChooser: func(string) mustardsaddle.Chooser { return resultChooser{bench.New(bench.Config{}), results} },
			},
		}, s.address())
		ctx, cancel := context.WithTimeout(context.Background(), c.callerTimeout)
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
			t.Errorf("caller cancels %s: got %+v, want Failed=%v and Canceled the opposite", c.name, got, c.failed)
		}
		close(release)
	}
}
