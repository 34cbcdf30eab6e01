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

// TestCallerIdleFollowsRules keeps a caller's connection open without a request while
// the rules change how long that may last.
func TestCallerIdleFollowsRules(t *testing.T) {
	j := newJudge(t, nil)
	front, g := newGateway(t, gateway.Config{}, j.address())
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
	const longer = 3 * time.Second
	setIdle(longer.String())
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("read to the end of the connection: %v", err)
	}
	if kept := time.Since(sent); kept < longer {
		t.Errorf("connection was kept for %v, want at least the %v of the rules in force", kept, longer)
	}
}
