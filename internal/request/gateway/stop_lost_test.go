package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

// TestStopKeepsCallsOfLostService guards against a gateway that stops breaking off requests at which servers are at
// work, because it takes their service for lost.
func TestStopKeepsCallsOfLostService(t *testing.T) {
	const work = 800 * time.Millisecond
	var begun, brokenOff atomic.Int64
	working := make(chan struct{}, 2)
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/work" {
			begun.Add(1)
			working <- struct{}{}
			select {
			case <-time.After(work):
			case <-r.Context().Done():
				brokenOff.Add(1)
			}
		}
		_, _ = io.WriteString(w, "complete")
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 40 * time.Second}, s.address())
	ended := make(chan string, 1)
	go func() {
		resp, text, err := do(t, fleet[0].front, http.MethodGet, "/work", "")
		if err != nil {
			text = err.Error()
		} else if resp.StatusCode != http.StatusOK {
			text = resp.Status
		}
		ended <- text
	}()
	<-working
	fleet[0].SetStopping(drain.New(drain.Config{Begun: time.Now()}))
	fleet[0].dialer.SetCut(relay.Refuse)
	if _, _, err := do(t, fleet[0].front, http.MethodGet, "/other", ""); err != nil {
		t.Errorf("call that finds the service lost: got error %v", err)
	}
	if lost := fleet[0].Controllers().LostServices(time.Now()); len(lost) != 1 {
		t.Fatalf("got lost services %v, want one", lost)
	}
	if got := <-ended; got != "complete" {
		t.Errorf("got %q, want the response of the server", got)
	}
	if begun.Load() != 1 || brokenOff.Load() != 0 {
		t.Errorf("the request was begun %d times and broken off %d times, want once and never", begun.Load(), brokenOff.Load())
	}
}
