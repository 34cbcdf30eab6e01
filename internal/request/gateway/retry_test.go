package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestRetryWaitsForAServer has a server that refuses connections and one that is
// busy. A call that the first one did not run waits for the second like any other.
func TestRetryWaitsForAServer(t *testing.T) {
	const calls = 12
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses := closed.Addr().String()
	_ = closed.Close()
	busy := newJudge(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	front, _ := newGateway(t, gateway.Config{Deadline: 10 * time.Second, RetryShare: 1}, refuses, busy.address())
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			resp, text, err := do(t, front, http.MethodPost, "/bookings", "a lathe", "Test-Call", fmt.Sprint("retry-", i))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("call %d: got %v %q %v, want 200", i, resp, text, err)
			}
		})
	}
	wg.Wait()
}
