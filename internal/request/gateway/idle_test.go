package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestConnectionIdleTooLong sends at-most-once requests with pauses about as long
// as a connection counts as proved alive, so that some meet one that has been idle
// too long. Nothing may leave by it, and the request goes out on a new one.
func TestConnectionIdleTooLong(t *testing.T) {
	const (
		callers = 8
		calls   = 40
	)
	j := newJudge(t, nil)
	front, _ := newGateway(t, gateway.Config{}, j.address())
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range calls {
				resp, text, err := do(t, front, http.MethodPost, "/bookings", "a lathe")
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d of caller %d: got %v %q %v, want 200", i, caller, resp, text, err)
				}
				time.Sleep(time.Duration((7*i+caller)%20) * 10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}
