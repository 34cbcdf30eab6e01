package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// endlessServer answers each request with begin and then with repeat, again and again,
// until the connection is closed.
type endlessServer struct {
	net.Listener
	begin, repeat string
	// pause is the time between two repetitions.
	pause time.Duration
	// path, if set, is the path of the requests that are answered in this way. Others are
	// answered with 200.
	path string
	// sent is the number of bytes sent, and open the number of connections on which bytes
	// are being sent.
	sent, open atomic.Int64
}

func newEndlessServer(t *testing.T, begin, repeat string) *endlessServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{Listener: ln, begin: begin, repeat: repeat}
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

// serve accepts connections until the listener is closed.
func (s *endlessServer) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.answer(conn)
	}
}

func (s *endlessServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.path == "" || r.URL.Path == s.path {
			break
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	_, _ = io.WriteString(conn, s.begin)
	for {
		n, err := io.WriteString(conn, s.repeat)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(s.pause)
	}
}

// waitClosed fails the test unless no connection is being sent to within a second.
func (s *endlessServer) waitClosed(t *testing.T) {
	t.Helper()
	for begun := time.Now(); s.open.Load() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > time.Second {
			t.Fatalf("got %d connections that still receive after a second, want none", s.open.Load())
		}
	}
}

// TestEndlessResponseIsCutOff guards against servers that send bytes that are no answer, in
// a head or a body, until the gateway closes the connection: the caller must get an answer
// in time, the connection must be closed and few bytes may be read.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const (
		deadline = time.Second
		// slack is the time after the deadline at which the caller has an answer.
		slack = 500 * time.Millisecond
		// maxSent is the largest response header and what the buffers of a connection hold.
		maxSent = 16 << 20
	)
	kilobyte := strings.Repeat("x", 1024)
	tests := []struct {
		name, begin, repeat string
		pause               time.Duration
		want                int
	}{
		{"status line", "HTTP/1.1 200 ", kilobyte, 0, http.StatusBadGateway},
		{"no HTTP", "", kilobyte, 0, http.StatusBadGateway},
		{"header field", "HTTP/1.1 200 OK\r\nX: ", kilobyte, 0, http.StatusBadGateway},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Long: " + kilobyte + "\r\n", 0, http.StatusBadGateway},
		{"slow header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 50 * time.Millisecond, http.StatusGatewayTimeout},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 0, http.StatusBadGateway},
		{"slow informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 20 * time.Millisecond, http.StatusBadGateway},
		{"refusal with a body", "HTTP/1.1 503 No\r\nEndpoint-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0, http.StatusTooManyRequests},
		{"refusal until the close", "HTTP/1.1 503 No\r\nEndpoint-Not-Run: 1\r\n\r\n", kilobyte, 0, http.StatusTooManyRequests},
		{"short body, slowly", "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n", "x", 20 * time.Millisecond, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEndlessServer(t, tt.begin, tt.repeat)
			s.pause = tt.pause
			go s.serve()
			front, _ := newGateway(t, gateway.Config{Deadline: deadline}, s.Addr().String())
			start := time.Now()
			resp, _, err := do(t, front, http.MethodPost, "/x", "")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.want {
				t.Errorf("got status %d, want %d", resp.StatusCode, tt.want)
			}
			if took := time.Since(start); took > deadline+slack {
				t.Errorf("got the answer after %s, want at most %s", took, deadline+slack)
			}
			if n := s.sent.Load(); n > maxSent {
				t.Errorf("got %d bytes sent, want at most %d", n, maxSent)
			}
			s.waitClosed(t)
		})
	}
}

// TestEndlessBodyEndsWithCaller guards against a connection that is read on, or a body that
// looks complete, after the caller of a response without end has left or its framing has
// broken.
func TestEndlessBodyEndsWithCaller(t *testing.T) {
	kilobyte := strings.Repeat("x", 1024)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, begin, repeat string
		broken              bool
	}{
		{"chunks", chunked, "400\r\n" + kilobyte + "\r\n", false},
		{"until the close", "HTTP/1.1 200 OK\r\n\r\n", kilobyte, false},
		{"chunk extension", chunked + "1;x=", kilobyte, true},
		{"chunk extensions", chunked, "1;x=" + kilobyte + "\r\nx\r\n", true},
		{"chunk size", chunked, "0", true},
		{"trailers", chunked + "0\r\n", "X: " + kilobyte + "\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEndlessServer(t, tt.begin, tt.repeat)
			go s.serve()
			front, _ := newGateway(t, gateway.Config{Deadline: 2 * time.Second}, s.Addr().String())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, front.URL+"/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := front.Client().Transport.RoundTrip(r)
			if err != nil {
				if !tt.broken {
					t.Fatal(err)
				}
				s.waitClosed(t)
				return
			}
			n, err := io.CopyN(io.Discard, resp.Body, 8<<20)
			if tt.broken && err == nil {
				t.Errorf("got %d bytes without an error, want an error", n)
			}
			if tt.broken && err == io.EOF {
				t.Errorf("got a complete body of %d bytes, want a visible error", n)
			}
			cancel()
			_ = resp.Body.Close()
			s.waitClosed(t)
		})
	}
}

// TestEndlessLoadReportIsCutOff guards against servers whose response to a load query never
// ends: calls must be served meanwhile and the connections closed.
func TestEndlessLoadReportIsCutOff(t *testing.T) {
	kilobyte := strings.Repeat("x", 1024)
	tests := []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", kilobyte},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Long: " + kilobyte + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		{"refusal", "HTTP/1.1 503 No\r\n\r\n", kilobyte},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEndlessServer(t, tt.begin, tt.repeat)
			s.path = "/load"
			go s.serve()
			cfg := gateway.Config{Deadline: 2 * time.Second}
			cfg.Admission = admission.Options{
				MaxLoadQueries: 4, LoadQueriesPerServer: 1000, Budget: unlimited{},
				NewChooser: func(string) mustardsaddle.Chooser { return survey.New(survey.Config{}) },
			}
			front, _ := newGateway(t, cfg, s.Addr().String())
			for range 3 {
				resp, body, err := do(t, front, http.MethodGet, "/x", "")
				if err != nil || resp.StatusCode != http.StatusOK || body != "ok" || resp.Header.Get(header.Outcome) != "Ran" {
					t.Fatalf("got %v, body %q, error %v, want 200", resp, body, err)
				}
			}
			s.waitClosed(t)
		})
	}
}

// unlimited is a budget without limits.
type unlimited struct{}

func (unlimited) Allow(time.Time, int, int) bool { return true }
