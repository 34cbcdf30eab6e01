package connection_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// Two parts of a request. After the first one net/http still considers the connection
// idle, as it does if a stalled process has not noticed a whole request.
const (
	requestStart = "GET / HTTP/1.1\r\n"
	requestEnd   = "Host: front\r\n\r\n"
)

// caller is a connection to a server of callers.
type caller struct {
	net.Conn
	r *bufio.Reader
}

// send sends a part of a request.
func (c caller) send(t *testing.T, part string) {
	t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
}

// expectResponse reads a response.
func (c caller) expectResponse(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("got error %v, want a response", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "served" {
		t.Fatalf("got body %q, error %v, want served", body, err)
	}
}

// expectEnd checks that the server closes the connection.
func (c caller) expectEnd(t *testing.T) {
	t.Helper()
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("got error %v, want the end of the connection", err)
	}
}

// startServer starts a server with the given idle timeout of callers, and connects to it.
func startServer(t *testing.T, timeout time.Duration) caller {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := connection.NewListener(ln, connection.ListenerConfig{})
	s := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		ConnState:         connection.NewIdleCloser(func() time.Duration { return timeout }).StateChanged,
		ReadHeaderTimeout: time.Minute,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(listener)
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = s.Close()
		<-ended
	})
	return caller{Conn: conn, r: bufio.NewReader(conn)}
}

// TestIdleTimeoutAsRequestArrives guards against an idle timeout that closes a connection
// without a response although a request has arrived on it.
func TestIdleTimeoutAsRequestArrives(t *testing.T) {
	// A negative timeout makes up for the margin of 2 s that IdleCloser adds.
	const expiry = 300 * time.Millisecond
	c := startServer(t, expiry-2*time.Second)
	c.send(t, requestStart+requestEnd)
	c.expectResponse(t)
	c.send(t, requestStart)
	time.Sleep(2 * expiry)
	c.send(t, requestEnd)
	c.expectResponse(t)
	c.expectEnd(t)
}
