package connection

import (
	"bytes"
	"net"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// defaultErrorHeader is the header that net/http sends with its own error responses
// to requests that it cannot parse. It matches no response of a handler, since those
// have a Date.
const defaultErrorHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// NewErrorListener returns a listener whose connections add the result code and the
// outcome to the error responses that net/http sends itself: for conflicting
// lengths, an unknown transfer encoding, or a header above the size limit.
func NewErrorListener(ln net.Listener, logger zerolog.Logger) net.Listener {
	return &errorListener{Listener: ln, logger: logger}
}

type errorListener struct {
	net.Listener
	logger zerolog.Logger
}

// Accept returns the next connection.
func (l *errorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, logger: l.logger}, nil
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	logger zerolog.Logger
}

// Write replaces an error response of net/http by one with code and outcome.
func (c *callerConn) Write(p []byte) (int, error) {
	status, _, ok := bytes.Cut(p, []byte(defaultErrorHeader))
	if !ok || len(status) > 200 || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	refused := refusal.NotRun(code.CallBadRequest)
	if bytes.HasPrefix(status, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		refused = refusal.NotRun(code.CallTooLarge)
	}
	event.Warn(c.logger, event.CallRefused).Bytes("Status", status).Int("Code", int(refused.Code)).
		Str("Outcome", refused.Outcome.String()).Send()
	body := refused.Body()
	response := append(bytes.Clone(status), "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n"+header.Code+": "+strconv.Itoa(int(refused.Code))+"\r\n"+header.Outcome+": "+refused.Outcome.String()+
		"\r\n\r\n"+body...)
	if _, err := c.Conn.Write(response); err != nil {
		return 0, err
	}
	return len(p), nil
}

// SetLinger sets the linger time of a TCP connection; for others it does nothing.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(Lingerer); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side. net/http uses it when it closes a connection
// without reading the whole request, so that its response is not lost.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Lingerer is a connection that can be reset instead of closed.
type Lingerer interface {
	// SetLinger sets for how many seconds unsent data is kept after the close; 0 makes
	// the close reset the connection.
	SetLinger(seconds int) error
}

var _ Lingerer = (*callerConn)(nil)
