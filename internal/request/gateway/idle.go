package gateway

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
	// maxCallerIdle bounds that time whatever the rules say.
	maxCallerIdle = time.Hour
)

// idleConns closes callers' connections that stay without a request. The time may
// change with the rules while connections are open.
type idleConns struct {
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

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, idle: make(map[net.Conn]*idleConn)}
}

// changed takes each change of state of a connection.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
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
func (i *idleConns) expire(now time.Time, c net.Conn) {
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

// idleLimit returns how long a caller's connection is kept without a request.
func (g *Gateway) idleLimit() time.Duration {
	if table := g.rules.Load(); table != nil && table.Idle() > 0 {
		return min(table.Idle(), maxCallerIdle)
	}
	return defaultCallerIdle
}
