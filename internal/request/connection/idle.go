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
	"context"
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
	// maxTimerDelay is how late a timer may fire before the process counts as stalled.
	maxTimerDelay = 100 * time.Millisecond
	// settleTime is the time for what has arrived during a stall to be read, and the interval
	// at which a connection that is not closed at its timeout is looked at again.
	settleTime = 500 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks for requests.
	drainPollInterval = 5 * time.Millisecond
	// maxArrivalPolls is for how many intervals Drain waits, without requests in flight, for the
	// headers of requests that have begun to arrive. A time in which the process stalls counts
	// as one.
	maxArrivalPolls = 200
	// MaxIdleTimeout bounds the idle timeout that the rules can set.
	MaxIdleTimeout = 24 * time.Hour
	// ServerIdleTimeout exceeds every idle timeout with its margin. As
	// http.Server.IdleTimeout it never takes effect before IdleCloser.
	ServerIdleTimeout = MaxIdleTimeout + 2*idleTimeoutMargin
)

// IdleCloser closes callers' connections that have been idle for longer than the
// timeout. The timeout may change with the rules while connections are open. A connection is
// closed by its reader, and only if no data has arrived.
type IdleCloser struct {
	// timeout returns the current idle timeout.
	timeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*openConn
}

// openConn is an open connection.
type openConn struct {
	state http.ConnState
	// since is when the state began, unless a request is in progress.
	since time.Time
	// timer fires when the connection may have been idle for long enough; nil before it was
	// idle.
	timer *time.Timer
	// settled is true once the timer has waited for the end of a stall.
	settled bool
}

// expected reports whether a first request is to be expected on the connection.
func (c *openConn) expected(now time.Time) bool {
	return c.state == http.StateNew && now.Sub(c.since) < newTimeout
}

// wait returns how much longer an idle connection is kept, if timeout is the time that it may be
// idle. After a timer that fired late it is kept a little longer, once.
func (c *openConn) wait(now time.Time, timeout time.Duration) time.Duration {
	left := timeout - now.Sub(c.since)
	if left < -maxTimerDelay && !c.settled {
		c.settled = true
		return settleTime
	}
	return left
}

// NewIdleCloser returns an IdleCloser that calls timeout for the current idle
// timeout.
func NewIdleCloser(timeout func() time.Duration) *IdleCloser {
	return &IdleCloser{timeout: timeout, conns: make(map[net.Conn]*openConn)}
}

// StateChanged tracks the state of a connection. It is the ConnState hook of an
// http.Server.
func (i *IdleCloser) StateChanged(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if caller, ok := c.(*callerConn); ok {
		caller.setState(now, state)
	}
	entry := i.conns[c]
	if entry == nil {
		entry = new(openConn)
		i.conns[c] = entry
	}
	entry.state, entry.since = state, now
	switch state {
	case http.StateNew:
	case http.StateActive:
		entry.stop()
	case http.StateIdle:
		entry.settled = false
		i.startTimer(c, entry)
	case http.StateHijacked, http.StateClosed:
		entry.stop()
		delete(i.conns, c)
	}
}

// startTimer starts the timer of a connection that has become idle.
func (i *IdleCloser) startTimer(c net.Conn, entry *openConn) {
	d := i.timeoutOf(c)
	if entry.timer != nil {
		entry.timer.Reset(d)
		return
	}
	entry.timer = time.AfterFunc(d, func() { i.expire(time.Now(), c) })
}

// timeoutOf returns how long a connection is kept while it is idle.
func (i *IdleCloser) timeoutOf(c net.Conn) time.Duration {
	timeout := i.timeout()
	if caller, ok := c.(*callerConn); ok {
		timeout = caller.idleTimeout(timeout)
	}
	return timeout + idleTimeoutMargin
}

// stop stops the timer.
func (c *openConn) stop() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// CloseIdle makes the readers of the idle connections close them, except those on which data has
// arrived and new ones on which a first request is to be expected. It returns the number of
// connections that are still open. It leaves connections of HTTP/2 to http.Server.Shutdown and
// does not count them.
func (i *IdleCloser) CloseIdle(now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	open := 0
	for c, entry := range i.conns {
		caller, ok := c.(*callerConn)
		if !ok || caller.endsWithShutdown() {
			continue
		}
		open++
		if entry.state != http.StateActive && !entry.expected(now) {
			caller.endIfIdle(ending{reason: EndStop})
		}
	}
	return open
}

// Drain closes connections as CloseIdle does as they become idle, and returns when all are closed
// and no request is in flight, or the context ends. It waits only for a while for requests that
// have begun to arrive.
func (i *IdleCloser) Drain(ctx context.Context, inFlight func() int) {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for polls := 0; i.CloseIdle(time.Now()) > 0 && polls < maxArrivalPolls || inFlight() > 0; polls++ {
		if inFlight() > 0 {
			polls = 0
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// expire makes the reader of a connection that has been idle for longer than the current
// timeout close it, or else waits for the rest of it.
func (i *IdleCloser) expire(now time.Time, c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := i.conns[c]
	if entry == nil || entry.state != http.StateIdle {
		return
	}
	timeout := i.timeoutOf(c)
	if wait := entry.wait(now, timeout); wait > 0 {
		entry.timer.Reset(wait)
		return
	}
	caller, ok := c.(*callerConn)
	if !ok {
		delete(i.conns, c)
		_ = c.Close()
		return
	}
	caller.endIfIdle(ending{reason: EndIdle, late: now.Sub(entry.since) - timeout})
	entry.timer.Reset(settleTime)
}
