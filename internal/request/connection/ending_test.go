package connection_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds a line.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all lines.
func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestConnectionCutIsReported guards against an end of a connection that loses a request and that
// neither the log nor the metrics show.
func TestConnectionCutIsReported(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: front\r\nrequest-id: r1\r\n\r\n"
	tests := []struct {
		name, sent string
		read       int
		left       bool
		want       []string
	}{
		{"nothing sent", "", 0, false, nil},
		{"unread request", request, 0, false, []string{`"Begun":false`, `"Unread":47`, `"Request":"r1"`}},
		{"half read request", request, 16, false, []string{`"Begun":true`, `"Unread":31`, `"Request":"r1"`}},
		{"read request", request, len(request), false, []string{`"Begun":true`, `"Unread":0`}},
		{"unread request without its end", request[:40], 0, false, []string{`"Unread":40`, `"Idle":`, `"Late":`}},
		{"the caller has left", request, len(request), true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log lines
			scope := tally.NewTestScope("", nil)
			near, far := accepted(t, connection.ListenerConfig{RequestID: "Request-Id", Metrics: scope, Logger: event.NewLogger(&log, "info", "gateway-1")})
			if _, err := io.WriteString(far, tt.sent); err != nil {
				t.Fatal(err)
			}
			if tt.left {
				_ = far.Close()
			}
			if _, err := io.ReadFull(near, make([]byte, tt.read)); err != nil {
				t.Fatal(err)
			}
			if tt.left {
				_, _ = io.Copy(io.Discard, near)
			}
			_ = near.Close()
			_ = near.Close()
			expectCut(t, log.String(), scope.Snapshot().Counters(), tt.want)
		})
	}
}

// expectCut checks that the log and the counters show one end with the wanted parts, or none if
// there are no parts.
func expectCut(t *testing.T, log string, counters map[string]tally.CounterSnapshot, want []string) {
	t.Helper()
	n := 0
	if want != nil {
		n = 1
	}
	if got := strings.Count(log, `"Name":"ConnectionCut"`); got != n {
		t.Errorf("got %d lines, want %d: %s", got, n, log)
	}
	for _, part := range want {
		if !strings.Contains(log, part) {
			t.Errorf("got %s, want %s in it", log, part)
		}
	}
	if got := counters["ConnectionsCut+Reason=Other"].Value(); got != int64(n) {
		t.Errorf("got %d ends counted, want %d", got, n)
	}
}

// accepted returns a connection that was accepted as one of a caller, and its other end.
func accepted(t *testing.T, cfg connection.ListenerConfig) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if far, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = connection.NewListener(ln, cfg).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}
