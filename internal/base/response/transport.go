package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests over connections on which responses are validated. It is safe for
// concurrent use.
type Transport struct {
	inner *http.Transport
}

// NewTransport returns a Transport that sends its requests by inner, whose DialContext it replaces.
func NewTransport(inner *http.Transport, cfg Config) *Transport {
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, cfg), nil
	}
	return &Transport{inner: inner}
}

// NewUpgradeTransport returns a Transport whose requests each have a connection of their own, on
// which a response may switch the protocol. Its header has at most maxHeaderBytes.
func NewUpgradeTransport(maxHeaderBytes int64) *Transport {
	return NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}, Config{Upgrade: true})
}

// RoundTrip sends a request and returns its response. A response that came before the request is
// an error.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	var request int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.BeginRequest()
			conn, request = c, c.Requests()
		}
	}}
	resp, err := t.inner.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil || conn == nil || conn.Answered(request) {
		return resp, err
	}
	_, _ = resp.Body.Close(), conn.Close()
	return nil, ErrEarly
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	t.inner.CloseIdleConnections()
}
