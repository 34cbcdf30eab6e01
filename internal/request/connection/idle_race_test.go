package connection_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// gate holds back goroutines while it is shut, as a process does that gets no processor.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// close shuts the gate.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

// open lets pass all that waits.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// pass waits while the gate is shut.
func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// stalledConn is a connection whose reads stall before they take the data, or after it.
type stalledConn struct {
	*net.TCPConn
	before, after *gate
}

// Read reads from the connection.
func (c stalledConn) Read(p []byte) (int, error) {
	c.before.pass()
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.after.pass()
	}
	return n, err
}

// stalledListener accepts connections of which reads stall.
type stalledListener struct {
	net.Listener
	before, after gate
}

// Accept returns the next connection.
func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.New("got another connection, want one of TCP")
	}
	return stalledConn{TCPConn: tcp, before: &l.before, after: &l.after}, nil
}

// stalledServer is a server of callers whose process stalls.
type stalledServer struct {
	ln   *stalledListener
	idle *connection.IdleCloser
	// whenIdle is called when a connection becomes idle, before IdleCloser learns of it.
	whenIdle func()
	// handle is called in each request.
	handle func()
}

// start starts the server with the given idle timeout, without the margin that IdleCloser adds,
// and connects to it.
func (s *stalledServer) start(t *testing.T, timeout time.Duration) caller {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ln = &stalledListener{Listener: ln}
	s.idle = connection.NewIdleCloser(func() time.Duration { return timeout - 2*time.Second })
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			s.handle()
			_, _ = io.WriteString(w, "served")
		}),
		ReadHeaderTimeout: time.Minute,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				s.whenIdle()
			}
			s.idle.StateChanged(c, state)
		},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(connection.NewListener(s.ln, connection.ListenerConfig{}))
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.ln.before.open()
		s.ln.after.open()
		_ = conn.Close()
		_ = server.Close()
		<-ended
	})
	return caller{Conn: conn, r: bufio.NewReader(conn)}
}

// TestRequestArrivesInStall guards against an end of an idle connection, by its timeout or by a
// stop, that cuts off a request which has arrived while the process stalled.
func TestRequestArrivesInStall(t *testing.T) {
	const (
		expiry  = 100 * time.Millisecond
		settled = 3 * expiry
		whole   = requestStart + requestEnd
	)
	tests := []struct {
		name string
		// early is sent while the response to the request before is made, and late once the
		// process stalls.
		early, late string
		// read is true if the process stalls after it has read the data.
		read bool
	}{
		{"unread", "", whole, false},
		{"half of it, unread", "", requestStart, false},
		{"read but not noticed", "", whole, true},
		{"half of it, read but not noticed", "", requestStart, true},
		{"its first byte read with the request before", whole[:1], "", false},
	}
	for _, tt := range tests {
		for _, stop := range []bool{false, true} {
			name := tt.name + ", idle timeout"
			if stop {
				name = tt.name + ", stop"
			}
			t.Run(name, func(t *testing.T) {
				s := &stalledServer{handle: func() {}, whenIdle: func() {}}
				timeout := expiry
				if stop {
					timeout = time.Hour
				}
				c := s.start(t, timeout)
				stalled := &s.ln.before
				if tt.read {
					stalled = &s.ln.after
				}
				s.handle = func() {
					s.handle = func() {}
					c.send(t, tt.early)
					time.Sleep(settled) // the first byte may be read meanwhile
				}
				s.whenIdle = func() {
					s.whenIdle = func() {}
					stalled.close()
				}
				c.send(t, whole)
				c.expectResponse(t)
				c.send(t, tt.late)
				time.Sleep(settled)
				if stop && s.idle.CloseIdle(time.Now()) != 1 {
					t.Error("got a stop that waits for no request, want 1")
				}
				stalled.open()
				c.send(t, whole[len(tt.early)+len(tt.late):])
				c.expectResponse(t)
			})
		}
	}
}

// TestIdleConnectionEndsAfterStall guards against a connection that is kept forever because the
// process stalled at its idle timeout.
func TestIdleConnectionEndsAfterStall(t *testing.T) {
	const expiry = 100 * time.Millisecond
	s := &stalledServer{handle: func() {}}
	s.whenIdle = func() { s.ln.before.close() }
	c := s.start(t, expiry)
	c.send(t, requestStart+requestEnd)
	c.expectResponse(t)
	time.Sleep(3 * expiry)
	s.ln.before.open()
	c.expectEnd(t)
}
