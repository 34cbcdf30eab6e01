package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// setIdle puts rules in force with the given idle timeout of callers' connections.
func setIdle(t *testing.T, g *gateway.Gateway, idle time.Duration) {
	t.Helper()
	file, problems := rule.Parse("Path=/* Service=Booking # Mei Lin: all\nIdle=" + idle.String() + " # Mei Lin: callers")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	g.SetRules(rule.Compile(file))
}

// TestCallerIsToldIdleTimeout guards against callers that reuse a connection just as it is closed
// as idle, because they do not know how long it is kept.
func TestCallerIsToldIdleTimeout(t *testing.T) {
	tests := []struct {
		name, request string
		idle          time.Duration
		stopping      bool
		want          string
	}{
		{"response", "GET /rosters HTTP/1.1\nHost: gateway\n\n", 15 * time.Second, false, "timeout=15"},
		{"refusal", "PUT /rosters HTTP/1.1\nHost: gateway\nUpgrade: x\nConnection: upgrade\n\n", 15 * time.Second, false, "timeout=15"},
		{"a part of a second", "GET /rosters HTTP/1.1\nHost: gateway\n\n", 2900 * time.Millisecond, false, "timeout=2"},
		{"less than a second", "GET /rosters HTTP/1.1\nHost: gateway\n\n", 900 * time.Millisecond, false, ""},
		{"last request", "GET /rosters HTTP/1.1\nHost: gateway\nConnection: close\n\n", 15 * time.Second, false, ""},
		{"HTTP/1.0", "GET /rosters HTTP/1.0\nHost: gateway\n\n", 15 * time.Second, false, ""},
		{"stop", "GET /rosters HTTP/1.1\nHost: gateway\n\n", 15 * time.Second, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Keep-Alive", "timeout=99")
				_, _ = io.WriteString(w, "complete")
			})
			front, g := newGateway(t, gateway.Config{}, s.address())
			setIdle(t, g, tt.idle)
			if tt.stopping {
				g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
			}
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, strings.ReplaceAll(tt.request, "\n", "\r\n")); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(resp.Header.Values("Keep-Alive"), "|"); got != tt.want {
				t.Errorf("got Keep-Alive %q with status %d, want %q", got, resp.StatusCode, tt.want)
			}
		})
	}
}

// TestToldIdleTimeoutIsKept guards against a connection that is closed earlier than its caller was
// told, because the idle timeout became shorter during the call.
func TestToldIdleTimeoutIsKept(t *testing.T) {
	const told = 3 * time.Second
	var g *gateway.Gateway
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		setIdle(t, g, 10*time.Millisecond)
		_, _ = io.WriteString(w, "complete")
	})
	front, started := newGateway(t, gateway.Config{}, s.address())
	g = started
	setIdle(t, g, told)
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /rosters HTTP/1.1\r\nHost: gateway\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	answered := time.Now()
	if _, err := io.Copy(io.Discard, in); err != nil {
		t.Errorf("read until the connection closes: %v", err)
	}
	if kept := time.Since(answered); kept < told {
		t.Errorf("connection was kept for %v, want at least the %v that the caller was told", kept, told)
	}
}
