package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// refusingServer refuses requests for /rosters and runs others. When a connection on which
// it has refused a request carries another one, it sends the refusal once more, and then runs
// the request.
type refusingServer struct {
	net.Listener
	// refusal holds the parts of the response to a refused request.
	refusal []string

	mu sync.Mutex
	// runs counts the executions by request ID.
	runs map[string]int
}

func newRefusingServer(t *testing.T, refusal []string) *refusingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &refusingServer{Listener: ln, refusal: refusal, runs: make(map[string]int)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *refusingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	refused := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if refused {
			_, _ = io.WriteString(c, strings.Join(s.refusal, ""))
		}
		if r.URL.Path == "/rosters" {
			refused = true
			for _, part := range s.refusal {
				_, _ = io.WriteString(c, part)
				time.Sleep(5 * time.Millisecond)
			}
			continue
		}
		id := r.Header.Get("Request-ID")
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-ID: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
}

// TestCopyOfRefusalIsNotBelieved guards against a late copy of a refusal, which names no
// request, being taken for the response to the next request on its connection: callers were
// told that a request had not run which a server ran, or it ran on a second server.
func TestCopyOfRefusalIsNotBelieved(t *testing.T) {
	const calls = 10
	cases := []struct {
		name    string
		refusal []string
	}{
		{"no body", []string{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
		{"body", []string{"HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nfull"}},
		{"body in chunks", []string{"HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nfull\r\n0\r\n\r\n"}},
		{"other server", []string{"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}},
		{"short line ends", []string{"HTTP/1.1 503 Service Unavailable\nNot-Run: 1\nContent-Length: 0\n\n"}},
		{"in pieces", []string{"HTTP/1.1 503 Serv", "ice Unavailable\r\nNot-R", "un: 1\r\nContent-Length: 0\r", "\n\r\n"}},
		{"after early hints", []string{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
		{"status of the service", []string{"HTTP/1.1 503 Service Unavailable\r\nEndpoint-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
		{"long header", []string{"HTTP/1.1 503 Service Unavailable\r\nX-Long: " + strings.Repeat("x", 60_000) + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b := newRefusingServer(t, c.refusal), newRefusingServer(t, c.refusal)
			cfg := eagerConfig
			cfg.Headers = &mustardsaddle.Headers{
				RequestID: "Request-ID", Instance: "Endpoint-Instance", NotRun: "Not-Run", Load: report.Header, ParseLoad: report.Parse,
			}
			front, _ := newGateway(t, cfg, a.Addr().String(), b.Addr().String())
			for i := range calls {
				_, _, _ = do(t, front, http.MethodGet, "/rosters", "", "Request-ID", fmt.Sprintf("read-%d", i))
				id := fmt.Sprintf("booking-%d", i)
				resp, text, err := do(t, front, http.MethodDelete, "/bookings", "", "Request-ID", id)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
				runs := a.count(id) + b.count(id)
				if outcome := resp.Header.Get(header.Outcome); runs > 1 || runs > 0 && outcome == mustardsaddle.NotRun.String() {
					t.Errorf("%s: got status %d, body %q, outcome %s after %d runs, want at most one run, and a true outcome", id, resp.StatusCode, text, outcome, runs)
				}
			}
		})
	}
}

func (s *refusingServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
