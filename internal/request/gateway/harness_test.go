package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// countingServer is an endpoint server that counts executions by attempt ID and by
// the Test-Call header.
type countingServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

// newCountingServer returns a server that counts a request and then calls handle,
// or echoes the body if handle is nil.
func newCountingServer(t testing.TB, handle http.HandlerFunc) *countingServer {
	s := &countingServer{runs: make(map[string]int)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.runs[r.Header.Get(header.Attempt)]++
		s.runs[r.Header.Get("Test-Call")]++
		s.mu.Unlock()
		if handle != nil {
			handle(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return s
}

// executions returns how often the attempt or call was executed by all the servers
// together.
func executions(id string, servers ...*countingServer) int {
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}

// address returns the server's host and port.
func (s *countingServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

// fault describes the fault that faultProxy injects into one connection. Limits of
// 0 mean no fault.
type fault struct {
	upBytes, downBytes int64 // bytes from and to the gateway before the fault occurs
	freeze             bool  // stop forwarding instead of resetting the connection
	halfClose          bool  // close only the sending side of the connection
}

// faultProxy is a TCP proxy in front of a server that injects faults.
type faultProxy struct {
	net.Listener
	target string
	fault  func(n int) fault // returns the fault of the nth connection

	mu       sync.Mutex
	conns    []net.Conn
	frozen   chan struct{}
	accepted int

	dropResponses atomic.Bool // reset the connection instead of forwarding a response
}

func newFaultProxy(t testing.TB, target string, f func(n int) fault) *faultProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{Listener: ln, target: target, fault: f, frozen: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); p.resetAll() })
	return p
}

// resetAll resets all open connections.
func (p *faultProxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// freeze stops forwarding on all open connections without closing them; new
// connections work.
func (p *faultProxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.frozen)
	p.frozen = make(chan struct{})
}

// setFault sets the fault of all new connections.
func (p *faultProxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = func(int) fault { return f }
}

func (p *faultProxy) forward(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.accepted++
	p.conns = append(p.conns, c, s)
	frozen, f := p.frozen, fault{}
	if p.fault != nil {
		f = p.fault(p.accepted)
	}
	p.mu.Unlock()
	go copyWithFault(s, c, f.upBytes, f, frozen, new(atomic.Bool))
	copyWithFault(c, s, f.downBytes, f, frozen, &p.dropResponses)
}

// copyWithFault copies from src to dst up to the limit, then injects the fault.
func copyWithFault(dst, src net.Conn, limit int64, f fault, frozen chan struct{}, dropResponses *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for copied := int64(0); ; {
		n, err := src.Read(buf)
		select {
		case <-frozen:
			return
		default:
		}
		if n > 0 && dropResponses.Load() {
			_ = dst.(*net.TCPConn).SetLinger(0)
			_, _ = dst.Close(), src.Close()
			return
		}
		if limit > 0 && copied+int64(n) >= limit {
			_, _ = dst.Write(buf[:max(min(limit-copied, int64(n)), 0)])
			switch {
			case f.freeze:
			case f.halfClose:
				_ = dst.(*net.TCPConn).CloseWrite()
			default:
				_ = dst.(*net.TCPConn).SetLinger(0)
				_, _ = dst.Close(), src.Close()
			}
			return
		}
		copied += int64(n)
		if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
			_, _ = dst.Close(), src.Close()
			return
		}
	}
}

const rules = `# Generation 1
Path=/safe Method=POST Service=Booking Repeat=Yes # Mei Lin: repeatable
Path=/* Service=Booking # Mei Lin: everything
`

// newGateway returns a gateway with the test rules for servers at the given
// addresses.
func newGateway(t testing.TB, cfg gateway.Config, addresses ...string) (*httptest.Server, *gateway.Gateway) {
	cfg.Name = "gateway-1"
	cfg.Services = map[string]gateway.ServiceConfig{"Booking": {NotRunStatus: 503, NotRunHeader: "Endpoint-Not-Run"}}
	g := gateway.New(cfg)
	file, problems := rule.Parse(rules)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	g.SetRules(rule.Compile(file))
	servers := make([]mustardsaddle.Server, 0, len(addresses))
	for _, a := range addresses {
		servers = append(servers, mustardsaddle.Server{Name: a, Address: a, Service: "Booking", Slots: 2, Connections: 200})
	}
	g.SetServers(time.Now(), "Booking", servers)
	front := httptest.NewUnstartedServer(g)
	front.Config = gateway.NewServer(gateway.ServerConfig{Handler: g})
	front.Listener = g.Listener(front.Listener)
	front.Start()
	t.Cleanup(func() { front.Close(); g.Close() })
	return front, g
}

// do sends a request and reads the complete response.
func do(t testing.TB, front *httptest.Server, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := front.Client().Transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// newConnServer returns the address of a server that calls serve for each connection, and then
// closes it.
func newConnServer(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}
