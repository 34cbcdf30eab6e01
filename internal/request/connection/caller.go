package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// NewListener returns a listener whose connections add the result code and the
// outcome to the error responses that net/http sends itself: for conflicting
// lengths, an unknown transfer encoding, or a header above the size limit. They also report
// when the gateway ends them although data has arrived that no response follows.
func NewListener(ln net.Listener, cfg ListenerConfig) net.Listener {
	return &listener{Listener: ln, logger: cfg.Logger, ends: newEndReporter(cfg)}
}

type listener struct {
	net.Listener
	logger zerolog.Logger
	ends   *endReporter
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, logger: l.logger, ends: l.ends}, nil
}

// callerConn is a connection from a caller. Its reader, the goroutine that reads from it, alone
// ends it as idle: only there is it known that nothing was read.
type callerConn struct {
	net.Conn
	logger zerolog.Logger
	ends   *endReporter

	mu sync.Mutex
	// pending is true from the first byte of a request until the first byte of its
	// response. net/http notices a request only after its whole header.
	pending bool
	// active is true while a request is in progress.
	active bool
	// answered is true once the response to that request has begun.
	answered bool
	// ahead is true once a byte of the next request was read meanwhile.
	ahead bool
	// ending is true while the reader is to end the connection unless data has arrived.
	ending bool
	// closed is true after the connection was ended as idle, or has had its last request.
	closed bool
	// begun is true once data was received, and http2 if it begins like HTTP/2.
	begun, http2 bool
	// left is true after the caller has ended the connection, and timedOut after a read deadline
	// has passed that was not replaced since.
	left, timedOut bool
	// readDeadline is the deadline of reads for which SetReadDeadline was called.
	readDeadline time.Time
	// reported is true once the end of the connection has been reported, or need not be.
	reported bool
	// promised is the idle timeout that the last response stated.
	promised time.Duration
	// idleSince is when the last request ended; zero while there is one.
	idleSince time.Time
	// end states how the gateway ends the connection, as far as that is known before.
	end ending
}

// Read reads from the connection. After the connection was ended as idle, or has had its last
// request, it returns an error even if it has received data, so that no request is accepted
// from it.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.endedBeforeRead() {
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			return c.noteData(p[:n], len(p), err)
		}
		if again := c.noteReadError(err); !again {
			return 0, err
		}
	}
}

// endedBeforeRead reports whether nothing may be read any more. If the connection is to be ended
// and no data has arrived, it ends it: the caller sees that before net/http closes the
// connection.
func (c *callerConn) endedBeforeRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.closed {
		return c.closed
	}
	if c.pending || len(unread(c.Conn)) > 0 {
		c.keep()
		return false
	}
	c.closed = true
	_ = c.CloseWrite()
	return true
}

// keep takes back that the connection is to be ended. The caller holds mu.
func (c *callerConn) keep() {
	if c.ending {
		c.ending, c.end = false, ending{}
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// noteData records that data was read into a buffer of the given size.
func (c *callerConn) noteData(data []byte, size int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Beside a handler, net/http reads one byte to notice the end of the connection.
	c.ahead = c.active && size == 1
	// What else is read after the response has begun is the rest of the request's body.
	c.pending = !c.answered || c.ahead
	if c.closed {
		return 0, net.ErrClosed
	}
	c.keep()
	if !c.begun {
		c.begun, c.http2 = true, beginsLikeHTTP2(data)
	}
	return len(data), err
}

// noteReadError records why a read returned nothing. It reports whether to try again, because
// the read ended for the reader to see whether the connection is idle.
func (c *callerConn) noteReadError(err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, errors.Is(err, net.ErrClosed):
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.left = true
	case c.ending:
		return true
	default:
		c.timedOut = true
	}
	return false
}

// SetReadDeadline sets the deadline of reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.timedOut = t, false
	return c.Conn.SetReadDeadline(t)
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

// endRequests makes the present request the last one of the connection. A read that waits ends.
func (c *callerConn) endRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.end.reason = true, EndLast
	_ = c.Conn.SetReadDeadline(time.Now())
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

// KeepIdle makes the connection of a request on HTTP/1 stay open for at least the timeout after it,
// whatever the idle timeout is then: the caller was told it. It returns false if the connection is
// not from a listener of this package.
func KeepIdle(r *http.Request, timeout time.Duration) bool {
	c, ok := r.Context().Value(contextKey{}).(*callerConn)
	if ok {
		c.setPromised(timeout)
	}
	return ok
}

func (c *callerConn) setPromised(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promised = timeout
}

// idleTimeout returns for how long the caller may expect the connection to be idle, if timeout is
// in force.
func (c *callerConn) idleTimeout(timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.promised, timeout)
}

// noteResponse records that a response is written.
func (c *callerConn) noteResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.answered = false, c.active
}

// setState records the state of the connection.
func (c *callerConn) setState(now time.Time, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.answered, c.idleSince = state == http.StateActive, false, time.Time{}
	switch state {
	case http.StateNew:
		c.idleSince = now
	case http.StateActive:
		c.keep()
	case http.StateIdle:
		c.pending, c.ahead, c.idleSince = c.ahead, false, now
	case http.StateHijacked:
		c.reported = true
	case http.StateClosed:
	}
}

// endIfIdle makes the reader end the connection, as e says, unless data has arrived. A read that
// waits ends for that.
func (c *callerConn) endIfIdle(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending || c.ending || c.closed {
		return
	}
	c.ending, c.end = true, e
	_ = c.Conn.SetReadDeadline(time.Now())
}

// lingerTime is how long a connection with unread data is still open after its sending side was
// closed.
const lingerTime = 500 * time.Millisecond

// Close closes the connection. It reports the end if it may leave a request without a response.
// If data is unread, it closes the sending side at once and the rest a little later: the
// operating system would drop the end of the last response.
func (c *callerConn) Close() error {
	e, first := c.takeEnding(time.Now())
	if !first {
		return c.Conn.Close()
	}
	e.unread = unread(c.Conn)
	c.ends.report(c.RemoteAddr(), e)
	if len(e.unread) == 0 || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
	return nil
}

// takeEnding returns how the gateway ends the connection. It returns false if that need not be
// reported: it was before, or the caller has ended the connection.
func (c *callerConn) takeEnding(now time.Time) (ending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.end
	if e.reason == EndOther && c.timedOut {
		e.reason = EndTimeout
	}
	if !c.idleSince.IsZero() {
		e.idle = now.Sub(c.idleSince)
	}
	e.begun = c.pending && !c.http2
	report := !c.reported && !c.left
	c.reported = true
	return e, report
}

// CloseWrite closes the sending side. net/http uses it when it closes a connection
// without reading the whole request, so that its response is not lost.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}
