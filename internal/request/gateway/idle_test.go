package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestConnectionIdleTooLong sends at-most-once requests with pauses of up to twice
// the liveness window, so that some are given a connection that has been idle for
// too long. Nothing may be sent on it; the request must be sent on a new connection
// instead.
func TestConnectionIdleTooLong(t *testing.T) {
	const (
		callers = 8
		calls   = 40
	)
	s := newCountingServer(t, nil)
	front, _ := newGateway(t, gateway.Config{}, s.address())
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

// TestCallerIdleFollowsRules keeps a caller's connection idle while the rules
// extend the idle timeout. The new timeout must apply to the open connection.
func TestCallerIdleFollowsRules(t *testing.T) {
	s := newCountingServer(t, nil)
	front, g := newGateway(t, gateway.Config{}, s.address())
	setIdle := func(idle string) {
		file, problems := rule.Parse("Path=/rosters Service=Booking # Mei Lin: rosters\nIdle=" + idle + " # Mei Lin: callers")
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		g.SetRules(rule.Compile(file))
	}
	setIdle("10ms")
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	if _, err := conn.Write([]byte("GET /rosters HTTP/1.1\r\nHost: gateway\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	const extended = 3 * time.Second
	setIdle(extended.String())
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("read until the connection closes: %v", err)
	}
	if kept := time.Since(sent); kept < extended {
		t.Errorf("connection was kept for %v, want at least the idle timeout of %v of the rules in force", kept, extended)
	}
}
