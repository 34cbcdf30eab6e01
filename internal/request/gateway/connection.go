package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// maxResponseHeaderBytes bounds the header of a server's answer.
	maxResponseHeaderBytes = 256 << 10
	// continueTimeout is how long a request with Expect waits for the server's
	// go-ahead before it sends its body.
	continueTimeout = time.Second
	// keepAliveInterval is the time between probes of an idle TCP connection.
	keepAliveInterval = 5 * time.Second
)

// manner says by which connection an attempt goes.
type manner int

const (
	// newConnection is one that nothing else uses, before or after.
	newConnection manner = iota
	// anyConnection may be one that has served before.
	anyConnection
	// aliveConnection may be one that carried an answer within aliveWindow.
	aliveConnection
)

// aliveWindow is how long a connection counts as proved alive by an answer.
const aliveWindow = 100 * time.Millisecond

// newTransport returns the connection library in one of two manners. With reuse,
// connections serve many requests, one after another. Without, each request has a
// new connection, and so none can meet one that is stale or silent.
func newTransport(cfg Config, reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !reuse,
		MaxIdleConnsPerHost:    defaultIdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// conn is a connection to a server that counts its reads and writes, and that can
// be sealed so that nothing more leaves by it.
type conn struct {
	net.Conn
	reads atomic.Int64

	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write passes a write on, or refuses it once the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, code.Errorf(code.Internal, "write to %v: connection is sealed", c.RemoteAddr())
	}
	return c.Conn.Write(p)
}

// begin counts a write before it leaves. A refused write is not counted, so that a
// count that stays the same proves that nothing has left.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Read counts the reads that bring bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// written returns the number of writes until now.
func (c *conn) written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all later writes and returns the number of writes until now.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}
