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

// TestQuestionsProveConnectionsAlive sends requests that must not be repeated, with
// pauses in which a connection stops counting as proved alive. The question before
// each request proves one, so that hardly any request needs a new connection.
func TestQuestionsProveConnectionsAlive(t *testing.T) {
	const (
		calls  = 20
		pause  = 120 * time.Millisecond
		opened = calls / 2
		agreed = 1000 // questions a second
		bytes  = 1 << 20
	)
	var connections, ran atomic.Int64
	host := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(report.Header, report.Format(0, 2, false))
		if r.URL.Path == "/bookings" {
			ran.Add(1)
		}
	}))
	host.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	host.Start()
	t.Cleanup(host.Close)
	front, _ := newGateway(t, gateway.Config{Admission: admission.Options{
		NewChooser:      func(string) mustardsaddle.Chooser { return survey.New(survey.Config{}) },
		ServerPerSecond: agreed,
		Budget:          report.NewBudget(report.BudgetConfig{MessagesPerSecond: agreed, BytesPerSecond: bytes}),
	}}, strings.TrimPrefix(host.URL, "http://"))
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
	if n := connections.Load(); n > opened {
		t.Errorf("got %d connections for %d requests, want at most %d", n, calls, opened)
	}
}
