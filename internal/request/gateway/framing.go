package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strconv"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// libraryHeader is the header of the answers that net/http gives by itself to a
// request that it cannot read. The answers of handlers have a Date.
const libraryHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Listener returns a listener whose connections add the numbered code and the
// outcome to what net/http refuses by itself: conflicting lengths, an unknown
// transfer encoding, a header above the limit.
func (g *Gateway) Listener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, g: g}
}

type listener struct {
	net.Listener
	g *Gateway
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, g: l.g}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	g *Gateway
}

// Write replaces an answer of net/http's own by one with code and outcome.
func (c *callerConn) Write(p []byte) (int, error) {
	status, _, ok := bytes.Cut(p, []byte(libraryHeader))
	if !ok || len(status) > 200 || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	n := notRun(code.CallBadRequest)
	if bytes.HasPrefix(status, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		n = notRun(code.CallTooLarge)
	}
	event.Warn(c.g.cfg.Logger, event.CallRefused).Bytes("Status", status).Int("Code", int(n.code)).
		Str("Outcome", n.outcome.String()).Send()
	body := n.body()
	answer := append(bytes.Clone(status), "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n"+header.Code+": "+strconv.Itoa(int(n.code))+"\r\n"+header.Outcome+": "+n.outcome.String()+
		"\r\n\r\n"+body...)
	if _, err := c.Conn.Write(answer); err != nil {
		return 0, err
	}
	return len(p), nil
}

// SetLinger sets how the connection closes, if it is one of TCP.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(lingerer); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the way to the caller, so that net/http can end a connection
// whose request it did not read whole without losing its answer.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// lingerer is a connection that can be reset instead of closed.
type lingerer interface {
	SetLinger(seconds int) error
}

var _ lingerer = (*callerConn)(nil)
