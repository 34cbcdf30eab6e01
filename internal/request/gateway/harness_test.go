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

// judge is an endpoint server that counts executions by attempt id.
type judge struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

// newJudge runs handle after counting, or echoes the body if handle is nil.
func newJudge(t testing.TB, handle http.HandlerFunc) *judge {
	j := &judge{runs: make(map[string]int)}
	j.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j.mu.Lock()
		j.runs[r.Header.Get(header.Attempt)]++
		j.runs[r.Header.Get("Test-Call")]++
		j.mu.Unlock()
		if handle != nil {
			handle(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	t.Cleanup(j.Close)
	return j
}

// count returns how often the attempt or call ran at any of the judges.
func count(id string, judges ...*judge) int {
	n := 0
	for _, j := range judges {
		j.mu.Lock()
		n += j.runs[id]
		j.mu.Unlock()
	}
	return n
}

// address returns the judge's host and port.
func (j *judge) address() string { return strings.TrimPrefix(j.URL, "http://") }

// fault says what a relay does to one connection. Limits of 0 mean none.
type fault struct {
	up, down int64 // bytes from and to the gateway before the fault
	freeze   bool  // keep silent instead of resetting the connection
	half     bool  // close only the way to the gateway
}

// link is a byte-level relay in front of a server.
type link struct {
	net.Listener
	target string
	fault  func(n int) fault // of the nth connection

	mu     sync.Mutex
	conns  []net.Conn
	frozen chan struct{}
	n      int

	lossy atomic.Bool // reset a connection in place of each answer
}

func newLink(t testing.TB, target string, f func(n int) fault) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{Listener: ln, target: target, fault: f, frozen: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); l.cut() })
	return l
}

// cut resets all present connections.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

// freeze makes all present connections silent for good; new ones work.
func (l *link) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.frozen)
	l.frozen = make(chan struct{})
}

// setFault replaces the faults of new connections.
func (l *link) setFault(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = func(int) fault { return f }
}

func (l *link) carry(c net.Conn) {
	s, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.n++
	l.conns = append(l.conns, c, s)
	frozen, f := l.frozen, fault{}
	if l.fault != nil {
		f = l.fault(l.n)
	}
	l.mu.Unlock()
	go pump(s, c, f.up, f, frozen, new(atomic.Bool))
	pump(c, s, f.down, f, frozen, &l.lossy)
}

// pump copies from src to dst until the limit, then does the fault.
func pump(dst, src net.Conn, limit int64, f fault, frozen chan struct{}, lossy *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for passed := int64(0); ; {
		n, err := src.Read(buf)
		select {
		case <-frozen:
			return
		default:
		}
		if n > 0 && lossy.Load() {
			_ = dst.(*net.TCPConn).SetLinger(0)
			_, _ = dst.Close(), src.Close()
			return
		}
		if limit > 0 && passed+int64(n) >= limit {
			_, _ = dst.Write(buf[:max(min(limit-passed, int64(n)), 0)])
			switch {
			case f.freeze:
			case f.half:
				_ = dst.(*net.TCPConn).CloseWrite()
			default:
				_ = dst.(*net.TCPConn).SetLinger(0)
				_, _ = dst.Close(), src.Close()
			}
			return
		}
		passed += int64(n)
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

// newGateway serves the rules above over servers at the given addresses.
func newGateway(t testing.TB, cfg gateway.Config, addresses ...string) (*httptest.Server, *gateway.Gateway) {
	cfg.Name = "gateway-1"
	cfg.Services = map[string]gateway.Service{"Booking": {NotRunStatus: 503, NotRunHeader: "Endpoint-Not-Run"}}
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

// do sends a request and reads the whole answer.
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
