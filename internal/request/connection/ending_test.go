package connection_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestRestOfBodyIsNoRequest guards against a report of a lost request for a connection that ends
// after a response because the rest of the request's body has not arrived.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: front\r\nContent-Length: 10\r\n\r\n"
	var log lines
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		ConnContext: connection.Context, ReadHeaderTimeout: time.Minute,
		ConnState: connection.NewIdleCloser(func() time.Duration { return time.Hour }).StateChanged,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rc := http.NewResponseController(w)
			_ = rc.EnableFullDuplex()
			w.Header().Set("Content-Length", "0")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = rc.Flush()
			_, _ = io.ReadFull(r.Body, make([]byte, 5))
			connection.EndRequests(r)
		}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(connection.NewListener(ln, connection.ListenerConfig{Logger: event.NewLogger(&log, "info", "gateway-1")}))
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "01234"); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, in)
	_ = conn.Close()
	_ = s.Close()
	<-ended
	if strings.Contains(log.String(), `"Name":"ConnectionCut"`) {
		t.Errorf("got %s, want no report", log.String())
	}
}
