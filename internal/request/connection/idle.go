// Package connection wraps the gateway's connections. Idle connections from callers
// are closed after a timeout that can change while they are open. Connections to
// servers count their writes, so that the gateway knows whether any byte of a request
// was sent.
//
// # Usage
//
//	idle := connection.NewIdleCloser(timeout)
//	server := &http.Server{ConnState: idle.StateChanged, IdleTimeout: connection.ServerIdleTimeout}
//
//	c := connection.NewCountedConn(conn, connection.CountedConfig{})
//	before := c.Writes()
//	...
//	nothingSent := c.BlockWrites() == before
package connection

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeoutMargin is added to the idle timeout of callers' connections, so that
	// a connection is not closed just as its caller sends the next request.
	idleTimeoutMargin = 2 * time.Second
	// newTimeout is how long a new connection is expected to bring its first request.
	newTimeout = 500 * time.Millisecond
	// MaxIdleTimeout bounds the idle timeout that the rules can set.
	MaxIdleTimeout = 24 * time.Hour
	// ServerIdleTimeout exceeds every idle timeout with its margin. As
	// http.Server.IdleTimeout it never takes effect before IdleCloser.
	ServerIdleTimeout = MaxIdleTimeout + 2*idleTimeoutMargin
)

// IdleCloser closes callers' connections that have been idle for longer than the
// timeout. The timeout may change with the rules while connections are open.
type IdleCloser struct {
	// timeout returns the current idle timeout.
	timeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*idleConn
}

// idleConn is a connection without a request in progress. A new one, which has had no request
// yet, has no timer.
type idleConn struct {
	since time.Time
	timer *time.Timer
}

// expected reports whether a first request is to be expected on the connection.
func (c *idleConn) expected(now time.Time) bool {
	return c.timer == nil && now.Sub(c.since) < newTimeout
}

// stop stops the timer.
func (c *idleConn) stop() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// NewIdleCloser returns an IdleCloser that calls timeout for the current idle
// timeout.
func NewIdleCloser(timeout func() time.Duration) *IdleCloser {
	return &IdleCloser{timeout: timeout, conns: make(map[net.Conn]*idleConn)}
}

// StateChanged tracks the state of a connection. It is the ConnState hook of an
// http.Server.
func (i *IdleCloser) StateChanged(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if caller, ok := c.(*callerConn); ok {
		caller.setState(time.Now(), state)
	}
	if entry := i.conns[c]; entry != nil {
		entry.stop()
		delete(i.conns, c)
	}
	switch state {
	case http.StateNew:
		i.conns[c] = &idleConn{since: time.Now()}
	case http.StateIdle:
		d := i.timeout() + idleTimeoutMargin
		i.conns[c] = &idleConn{since: time.Now(), timer: time.AfterFunc(d, func() { i.expire(time.Now(), c) })}
	case http.StateActive, http.StateHijacked, http.StateClosed:
	}
}

// CloseIdle closes the idle connections, except those on which a request has begun to arrive
// and new ones on which one is to be expected. It returns the number of these. It leaves
// connections of HTTP/2 to http.Server.Shutdown.
func (i *IdleCloser) CloseIdle(now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	arriving := 0
	for c, entry := range i.conns {
		caller, ok := c.(*callerConn)
		if !ok || caller.endsWithShutdown() {
			continue
		}
		if entry.expected(now) || !caller.closeIdle(ending{reason: EndStop}) {
			arriving++
		}
	}
	return arriving
}

// expire closes a connection that has been idle for longer than the current
// timeout, or else waits for the rest of it.
func (i *IdleCloser) expire(now time.Time, c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := i.conns[c]
	if entry == nil {
		return
	}
	left := i.timeout() + idleTimeoutMargin - now.Sub(entry.since)
	if left > 0 {
		entry.timer.Reset(left)
		return
	}
	delete(i.conns, c)
	if caller, ok := c.(*callerConn); ok {
		caller.closeIdle(ending{reason: EndIdle, late: -left})
		return
	}
	_ = c.Close()
}
