// Package connection holds what a gateway adds to connections: callers' ones are
// closed when they stay without a request, and those to servers are counted, so that
// it is known whether anything has left by them.
//
// # Usage
//
//	idle := connection.NewIdle(limit)
//	server := &http.Server{ConnState: idle.Changed, IdleTimeout: connection.MaxIdle}
//
//	c := connection.NewCounted(conn)
//	before := c.Written()
//	...
//	nothingLeft := c.Seal() == before
package connection

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleMargin is added to the time for which callers' connections are kept, so
	// that none is closed as its caller is about to use it once more.
	idleMargin = 2 * time.Second
	// MaxLimit bounds that time whatever the rules say.
	MaxLimit = time.Hour
	// MaxIdle is longer than any connection stays open without a request.
	MaxIdle = MaxLimit + 2*idleMargin
)

// Idle closes callers' connections that stay without a request. The time may
// change with the rules while connections are open.
type Idle struct {
	// limit returns the time for which a connection is kept now.
	limit func() time.Duration

	mu   sync.Mutex
	idle map[net.Conn]*idleConn
}

// idleConn is a connection without a request.
type idleConn struct {
	since time.Time
	timer *time.Timer
}

// NewIdle returns an Idle that keeps connections for the time that limit returns.
func NewIdle(limit func() time.Duration) *Idle {
	return &Idle{limit: limit, idle: make(map[net.Conn]*idleConn)}
}

// Changed takes each change of state of a connection.
func (i *Idle) Changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known := i.idle[c]; known != nil {
		known.timer.Stop()
		delete(i.idle, c)
	}
	if state != http.StateIdle {
		return
	}
	d := i.limit() + idleMargin
	i.idle[c] = &idleConn{since: time.Now(), timer: time.AfterFunc(d, func() { i.expire(time.Now(), c) })}
}

// expire closes a connection that has been idle for long enough, by the time that
// holds now.
func (i *Idle) expire(now time.Time, c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.idle[c]
	if known == nil {
		return
	}
	if left := i.limit() + idleMargin - now.Sub(known.since); left > 0 {
		known.timer.Reset(left)
		return
	}
	delete(i.idle, c)
	_ = c.Close()
}
