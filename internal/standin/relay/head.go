package relay

import (
	"bytes"
	"net"
)

// HeadBreaker is a listener whose connections put a field with a blank in its name into the head
// of the first response.
type HeadBreaker struct {
	net.Listener
}

// Accept waits for the next connection.
func (b HeadBreaker) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headBreakerConn{Conn: c}, nil
}

// headBreakerConn is a connection of a HeadBreaker. It is written to by one goroutine at a time.
type headBreakerConn struct {
	net.Conn
	broken bool
}

// Write writes to the connection.
func (c *headBreakerConn) Write(p []byte) (int, error) {
	line, rest, found := bytes.Cut(p, []byte("\r\n"))
	if c.broken || !found {
		return c.Conn.Write(p)
	}
	c.broken = true
	head := append(bytes.Clone(line), "\r\nX Odd: 1\r\n"...)
	if _, err := c.Conn.Write(append(head, rest...)); err != nil {
		return 0, err
	}
	return len(p), nil
}
