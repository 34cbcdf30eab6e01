package connection

import (
	"net"
	"sync"

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
	// closed is true after the connection was closed as idle.
	closed bool
	// begun is true once data was received, and http2 if it begins like HTTP/2.
	begun, http2 bool
}

// Read reads from the connection. After the connection was closed as idle, it returns an
// error even if it has received data, so that no request is accepted from it.
func (c *callerConn) Read(p []byte) (int, error) {
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
