package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestLoadQueriesKeepConnectionsAlive sends at-most-once requests with pauses
// longer than the liveness window. The load query before each request shows that a
// connection is alive, so few requests need a new connection.
func TestLoadQueriesKeepConnectionsAlive(t *testing.T) {
	const (
		calls          = 20
		pause          = 120 * time.Millisecond
		maxConnections = calls / 2
		ratePerSecond  = 1000 // load queries per second
		bytes          = 1 << 20
	)
	var connections, ran atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(report.Header, report.Format(0, 2, false))
		if r.URL.Path == "/bookings" {
			ran.Add(1)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	front, _ := newGateway(t, gateway.Config{Admission: admission.Options{
		NewChooser:           func(string) mustardsaddle.Chooser { return survey.New(survey.Config{}) },
		LoadQueriesPerServer: ratePerSecond,
		Budget:               report.NewBudget(report.BudgetConfig{MessagesPerSecond: ratePerSecond, BytesPerSecond: bytes}),
	}}, strings.TrimPrefix(server.URL, "http://"))
	for range calls {
		resp, text, err := do(t, front, http.MethodPost, "/bookings", "a lathe")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v %q %v, want 200", resp, text, err)
		}
		time.Sleep(pause)
	}
	if ran.Load() != calls {
		t.Errorf("got %d executions, want %d", ran.Load(), calls)
	}
	if n := connections.Load(); n > maxConnections {
		t.Errorf("got %d connections for %d requests, want at most %d", n, calls, maxConnections)
	}
}
