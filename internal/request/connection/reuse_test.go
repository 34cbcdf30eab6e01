package connection_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// reuser sends requests to a server on kept connections, with pauses around its idle timeout.
type reuser struct {
	address string
	rng     *rand.Rand
	expiry  time.Duration
}

// run sends requests until the context ends.
func (r *reuser) run(ctx context.Context, t *testing.T) {
	var c *caller
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for ctx.Err() == nil {
		if c == nil {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Error(err)
				return
			}
			c = &caller{Conn: conn, r: bufio.NewReader(conn)}
		}
		if !r.send(t, c) {
			_ = c.Close()
			c = nil
		}
		time.Sleep(r.expiry*9/10 + time.Duration(r.rng.Int64N(int64(r.expiry/5))))
	}
}

// send sends a request and reads its response. It returns false if the connection has ended.
func (r *reuser) send(t *testing.T, c *caller) bool {
	if _, err := io.WriteString(c, requestStart+requestEnd); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "served" {
		t.Errorf("got body %q, error %v, want served", body, err)
	}
	return true
}

// countedRequests counts the whole requests that are read from connections.
type countedRequests struct {
	net.Listener
	read atomic.Int64
}

// Accept returns the next connection.
func (l *countedRequests) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.New("got another connection, want one of TCP")
	}
	return &countedConn{TCPConn: tcp, read: &l.read}, nil
}

// countedConn is a connection on which requests are counted. Each is sent in one piece.
type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 1 {
		c.read.Add(1)
	}
	return n, err
}

// TestRequestsAroundIdleTimeout guards against requests that are read from a connection and get
// no response because the connection was ended as idle meanwhile.
func TestRequestsAroundIdleTimeout(t *testing.T) {
	const (
		callers = 60
		expiry  = 20 * time.Millisecond
		lasting = 3 * time.Second
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := &countedRequests{Listener: ln}
	var served atomic.Int64
	idle := connection.NewIdleCloser(func() time.Duration { return expiry - 2*time.Second })
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			_, _ = io.WriteString(w, "served")
		}),
		ConnState: idle.StateChanged, ReadHeaderTimeout: time.Minute,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(connection.NewListener(requests, connection.ListenerConfig{}))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		r := &reuser{address: ln.Addr().String(), rng: rand.New(rand.NewPCG(1, uint64(i))), expiry: expiry}
		wg.Go(func() { r.run(ctx, t) })
	}
	wg.Wait()
	_ = s.Close()
	<-ended
	if read, got := requests.read.Load(), served.Load(); read != got || got < callers {
		t.Errorf("got %d requests served of %d that were read, want all, and at least %d", got, read, callers)
	}
}
