// Package response validates what is received on a connection before it is taken for a response: the
// headers of responses, before they are parsed, and the end of the connection. All clients of this
// program use it: those of the endpoint servers, of the other gateways and of the store.
//
// A header is a response's only if its first line has a version 1.x and a status from 100 to 599,
// if each field name is a token, if it has a Transfer-Encoding only from version 1.1 on, if it
// switches the protocol only where that was asked for, and if it came after its request. Values are
// left to the parser. CheckTrailer validates the names in a trailer.
//
// A connection ends in order only if its peer has closed the sending side. A body whose end is that
// of the connection is complete then, and in no other case.
//
// # Usage
//
//	client := http.Client{Transport: response.NewTransport(&http.Transport{}, response.Config{})}
//
//	c := response.NewConn(conn, response.Config{})
//	c.BeginRequest()
//	n := c.Requests()
//	...  // write the request to c, and read the response from it
//	if !c.Answered(n) { ... } // the response came before the request
package response

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrEarly is the error of a response whose header was not validated, since it came before its
// request or is longer than MaxHeadBytes.
var ErrEarly = errors.New("read response header: it came before the request, or is too long")

// Config configures a Conn.
type Config struct {
	// Upgrade permits responses that switch the protocol.
	Upgrade bool
	// Fields are the names of the fields that OnHeader gets.
	Fields []string
	// OnHeader, if set, is called with the status and the Fields of each response other than a
	// success, when its header is complete. It must not use the connection.
	OnHeader func(status int, h http.Header)
}

// Conn is a connection on which responses are received. A read fails if what it received belongs
// to no response, or if the connection has ended out of order; all later reads fail as well.
type Conn struct {
	net.Conn
	onHeader func(status int, h http.Header)

	mu   sync.Mutex
	head head
	// begun is the number of requests begun, and answered the number of the last one of them whose
	// response has a complete header.
	begun, answered int64
	// ended is the error of the read that has ended the stream.
	ended error

	// writing is held during each write, and guards broken, the error of the write that found the
	// connection broken.
	writing sync.Mutex
	broken  error
}

// NewConn returns a connection on which the header of a response is awaited.
func NewConn(c net.Conn, cfg Config) *Conn {
	r := &Conn{Conn: c, onHeader: cfg.OnHeader}
	r.head.upgrade = cfg.Upgrade
	r.head.fields = make(map[string]bool, len(cfg.Fields))
	for _, name := range cfg.Fields {
		r.head.fields[http.CanonicalHeaderKey(name)] = true
	}
	r.head.await()
	return r
}

// BeginRequest must be called before each request on the connection.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.await()
	c.begun++
}

// Requests returns the number of requests begun, which is the number of the present one.
func (c *Conn) Requests() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// Answered reports whether the header of a response was received since the request with the given
// number began. The next request may have begun meanwhile.
func (c *Conn) Answered(request int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered >= request
}

// HeaderMemory returns the memory, in bytes, that the headers of the present response take.
func (c *Conn) HeaderMemory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.memory()
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && breaks(err) {
		c.broken = err
	}
	return n, err
}

// breaks reports whether the error of a write shows that the connection has ended out of order. A
// peer that resets the connection after it has closed its sending side causes EPIPE.
func breaks(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.endError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return c.validate(p[:n], err)
}

// endError returns the error with which reading has ended, or nil.
func (c *Conn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// endOfStream returns io.EOF if the peer has closed its sending side. The kernel reports the error
// of a connection once. If that was to a write, reading ends as if in order, maybe before the write
// has returned: writes are ended, and the one in progress is waited for.
func (c *Conn) endOfStream() error {
	_ = c.SetWriteDeadline(time.Unix(0, 1))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return fmt.Errorf("read response: a write found the connection broken: %w", c.broken)
	}
	return io.EOF
}

// validate scans what was read for headers, and returns the result of the read, which had the given
// error.
func (c *Conn) validate(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete, headErr := c.head.scan(p)
	if headErr != nil {
		p, err = nil, headErr
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
	}
	if complete {
		c.answered = c.begun
	}
	if complete && c.head.found != nil && c.onHeader != nil {
		c.onHeader(c.head.first.status, c.head.found)
	}
	return len(p), err
}
