package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a connection of a client, which sends one request after another.
type clientConn struct {
	node *node
	conn net.Conn
	in   *bufio.Reader
}

// request is a request of a client.
type request struct {
	id, method, path, body string
	host                   string
	deadline               time.Duration
	// chunked is true if the body is sent in chunks.
	chunked bool
}

// answer is what a client has received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %s: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("answer %d, %d bytes, after %s", a.status, len(a.body), a.took.Round(time.Millisecond))
}

func connect(n *node) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", n.front, time.Second) //nolint:noctx // It has a timeout.
	if err != nil {
		return nil, err
	}
	return &clientConn{node: n, conn: c, in: bufio.NewReader(c)}, nil
}

// send sends a request and receives its answer.
func (c *clientConn) send(rec *recorder, q request) answer {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, q.host,
		headerRequestID, q.id, headerDeadline, q.deadline.Milliseconds())
	switch {
	case q.chunked:
		_, _ = fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(q.body), q.body)
	case q.body != "":
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	default:
		b.WriteString("\r\n")
	}
	began := time.Now()
	rec.note("client sends %s %s %s to %s", q.id, q.method, q.path, c.node.name)
	a := c.exchange(q, b.String())
	a.took = time.Since(began)
	rec.note("client gets for %s: %v", q.id, a)
	return a
}

func (c *clientConn) exchange(q request, text string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (c *clientConn) close() { _ = c.conn.Close() }
