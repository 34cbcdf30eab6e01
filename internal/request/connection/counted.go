package connection

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// CountedConn is a connection to a server that validates the responses, and counts reads and writes.
// Its writes can be blocked, after which no further byte is sent. After a response that a later
// request could be given by mistake it reads as closed.
type CountedConn struct {
	*response.Conn
	cfg   CountedConfig
	reads atomic.Int64
	ended atomic.Bool

	mu            sync.Mutex
	writes        int64
	writesBlocked bool
	// held is the memory taken from cfg.Heads for the headers of the present response. None is
	// taken once the connection is closed.
	held   int64
	closed bool
}

// CountedConfig configures a CountedConn.
type CountedConfig struct {
	// Last reports, from the status and the LastFields of a response other than a success, whether
	// no request may follow on its connection; nil allows all.
	Last func(status int, h http.Header) bool
	// LastFields are the names of the fields that Last reads.
	LastFields []string
	// Heads bounds the memory for the headers of responses; nil means no bound.
	Heads *buffer.Pool
}

const (
	// freeHeadBytes is the memory that the header of each response may take without a budget.
	freeHeadBytes = 16 << 10
	// headStepBytes is the memory that is taken from the budget at a time.
	headStepBytes = 16 << 10
)

// errHeadMemory ends a connection whose response has a large header while others use up the budget.
var errHeadMemory = errors.New("read response header: the memory for large headers is used up")

// NewCountedConn returns a connection whose counts are zero.
func NewCountedConn(c net.Conn, cfg CountedConfig) *CountedConn {
	counted := &CountedConn{cfg: cfg}
	counted.Conn = response.NewConn(c, response.Config{Fields: cfg.LastFields, OnHeader: counted.endAfterLast})
	return counted
}

// endAfterLast ends the connection after a response that has to be the last one.
func (c *CountedConn) endAfterLast(status int, h http.Header) {
	if c.cfg.Last != nil && c.cfg.Last(status, h) {
		c.ended.Store(true)
	}
}

// BeginRequest must be called before each request on the connection. It reports whether the
// request may be sent.
func (c *CountedConn) BeginRequest() bool {
	c.Conn.BeginRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returnHeads()
	return !c.ended.Load()
}

// Close closes the connection.
func (c *CountedConn) Close() error {
	c.mu.Lock()
	c.returnHeads()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// returnHeads returns the memory of headers that are no longer used. The caller holds mu.
func (c *CountedConn) returnHeads() {
	c.cfg.Heads.Return(c.held)
	c.held = 0
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
	if c.ended.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		if headsErr := c.takeHeads(c.HeaderMemory()); headsErr != nil {
			return 0, headsErr
		}
	}
	return n, err
}

// takeHeads takes memory from the budget, so that headers of n bytes are covered. It ends the
// connection and returns an error if there is too little.
func (c *CountedConn) takeHeads(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n > freeHeadBytes+c.held {
		if c.closed || !c.cfg.Heads.TryTake(headStepBytes) {
			c.ended.Store(true)
			return errHeadMemory
		}
		c.held += headStepBytes
	}
	return nil
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
