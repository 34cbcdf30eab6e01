package connection

import (
	"net"
	"sync"
	"sync/atomic"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// CountedConn is a connection to a server that counts reads and writes. Its writes
// can be blocked, after which no further byte is sent.
type CountedConn struct {
	net.Conn
	reads atomic.Int64

	mu            sync.Mutex
	writes        int64
	writesBlocked bool
}

// NewCountedConn returns a connection whose counts are zero.
func NewCountedConn(c net.Conn) *CountedConn {
	return &CountedConn{Conn: c}
}

// Write writes to the connection, or fails after BlockWrites.
func (c *CountedConn) Write(p []byte) (int, error) {
	if !c.countWrite() {
		return 0, code.Errorf(code.Internal, "write to %v: writes are blocked", c.RemoteAddr())
	}
	return c.Conn.Write(p)
}

// countWrite counts a write before its bytes are sent. A blocked write is not
// counted, so an unchanged count proves that nothing was sent.
func (c *CountedConn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked {
		return false
	}
	c.writes++
	return true
}

// Read reads from the connection and counts the reads that return data.
func (c *CountedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Writes returns the number of writes so far.
func (c *CountedConn) Writes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// BlockWrites makes all later writes fail, and returns the number of writes so far.
func (c *CountedConn) BlockWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// Reads returns the number of reads that returned data.
func (c *CountedConn) Reads() int64 {
	return c.reads.Load()
}
