package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestRetryWaitsForAServer uses one server that refuses connections and one that is
// busy. A call that the first server did not execute must queue for the second one
// like any other call.
func TestRetryWaitsForAServer(t *testing.T) {
	const calls = 12
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := closed.Addr().String()
	_ = closed.Close()
	busy := newCountingServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	front, _ := newGateway(t, gateway.Config{Deadline: 10 * time.Second, Admission: admission.Options{RetryShare: 1}}, closedAddress, busy.address())
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

// TestConnectionsByRules checks that the connection limit in the rules bounds the
// concurrent attempts at a server.
func TestConnectionsByRules(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 2)
	s := newCountingServer(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	front, g := newGateway(t, gateway.Config{Admission: admission.Options{MaxQueued: -1, HedgeShare: -1}}, s.address())
	file, problems := rule.Parse("Path=/rosters Service=Booking # Mei Lin: rosters\nService=Booking Connections=1 # Mei Lin: servers")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	g.SetRules(rule.Compile(file))
	first := make(chan int, 1)
	go func() {
		resp, _, err := do(t, front, http.MethodGet, "/rosters", "")
		if err != nil {
			first <- 0
			return
		}
		first <- resp.StatusCode
	}()
	<-arrived
	// Releases the server if the second call is not refused, so that the test ends.
	failsafe := time.AfterFunc(10*time.Second, func() { close(release) })
	resp, _, err := do(t, front, http.MethodGet, "/rosters", "")
	if err != nil || resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("second call: got %v %v, want 429 because of the limit of one connection", resp, err)
	}
	if failsafe.Stop() {
		close(release)
	}
	if status := <-first; status != http.StatusOK {
		t.Errorf("first call: got status %d, want 200", status)
	}
}
