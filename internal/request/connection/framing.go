package connection

import (
	"bytes"
	"net/http"
	"strconv"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// defaultErrorHeader is the header that net/http sends with its own error responses
// to requests that it cannot parse, behind the status line alone. A response of a handler has
// further fields.
const defaultErrorHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// maxStatusBytes bounds the status line of an error response of net/http.
const maxStatusBytes = 200

// Write replaces an error response of net/http by one with code and outcome.
func (c *callerConn) Write(p []byte) (int, error) {
	c.noteResponse()
	status, _, ok := bytes.Cut(p, []byte(defaultErrorHeader))
	if !ok || len(status) > maxStatusBytes || bytes.Contains(status, []byte("\r\n")) || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
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
