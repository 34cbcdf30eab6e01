package connection

import (
	"net"
	"sync"
	"sync/atomic"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Counted is a connection to a server that counts its reads and writes, and that can
// be sealed so that nothing more leaves by it.
type Counted struct {
	net.Conn
	reads atomic.Int64

	mu     sync.Mutex
	writes int64
	sealed bool
}

// NewCounted returns a connection by which nothing has gone yet.
func NewCounted(c net.Conn) *Counted {
	return &Counted{Conn: c}
}

// Write passes a write on, or refuses it once the connection is sealed.
func (c *Counted) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, code.Errorf(code.Internal, "write to %v: connection is sealed", c.RemoteAddr())
	}
	return c.Conn.Write(p)
}

// begin counts a write before it leaves. A refused write is not counted, so that a
// count that stays the same proves that nothing has left.
func (c *Counted) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Read counts the reads that bring bytes.
func (c *Counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Written returns the number of writes until now.
func (c *Counted) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal refuses all later writes and returns the number of writes until now.
func (c *Counted) Seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// Reads returns the number of reads that brought bytes.
func (c *Counted) Reads() int64 {
	return c.reads.Load()
}
