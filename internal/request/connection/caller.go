package connection

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// NewErrorListener returns a listener whose connections add the result code and the
// outcome to the error responses that net/http sends itself: for conflicting
// lengths, an unknown transfer encoding, or a header above the size limit.
func NewErrorListener(ln net.Listener, logger zerolog.Logger) net.Listener {
	return &errorListener{Listener: ln, logger: logger}
}

type errorListener struct {
	net.Listener
	logger zerolog.Logger
}

// Accept returns the next connection.
func (l *errorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, logger: l.logger}, nil
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	logger zerolog.Logger

	mu sync.Mutex
	// pending is true from the first byte of a request until the first byte of its
	// response. net/http notices a request only after its whole header.
	pending bool
	// closed is true after the connection was closed as idle, or has had its last request.
	closed bool
	// begun is true once data was received, and http2 if it begins like HTTP/2.
	begun, http2 bool
}

// Read reads from the connection. After the connection was closed as idle, or has had its last
// request, it returns an error even if it has received data, so that no request is accepted
// from it.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = true
	if !c.begun {
		c.begun, c.http2 = true, beginsLikeHTTP2(p[:n])
	}
	return n, err
}

// http2Begin begins the first bytes of an HTTP/2 connection.
const http2Begin = "PRI "

// beginsLikeHTTP2 reports whether the first data of a connection may be of HTTP/2.
func beginsLikeHTTP2(p []byte) bool {
	n := min(len(p), len(http2Begin))
	return string(p[:n]) == http2Begin[:n]
}

// endsWithShutdown reports whether http.Server.Shutdown ends the connection: on HTTP/2 it tells
// the caller which requests are not taken, and finishes the responses to the others.
func (c *callerConn) endsWithShutdown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// endRequests makes the present request the last one of the connection. A read that waits ends.
func (c *callerConn) endRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.SetReadDeadline(time.Now())
}

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

// Context returns the context of the requests on a connection. It is the ConnContext hook of an
// http.Server.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// EndRequests makes a request the last one of its connection on HTTP/1: what follows on the
// connection, such as the rest of its body, is not read as a request. Streams of HTTP/2 are
// independent of each other, so it does nothing there.
func EndRequests(r *http.Request) {
	c, ok := r.Context().Value(contextKey{}).(*callerConn)
	if ok && r.ProtoMajor == 1 {
		c.endRequests()
	}
}

// setPending records whether a request awaits its response.
func (c *callerConn) setPending(pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = pending
}

// closeIdle closes the connection unless a request has arrived on it. It reports whether
// it closed the connection.
func (c *callerConn) closeIdle() bool {
	if !c.markClosed() {
		return false
	}
	_ = c.Close()
	return true
}

// markClosed records that the connection is closed, or returns false if a request is
// pending.
func (c *callerConn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = !c.pending
	return c.closed
}

// CloseWrite closes the sending side. net/http uses it when it closes a connection
// without reading the whole request, so that its response is not lost.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}
