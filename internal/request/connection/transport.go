package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

const (
	// expectContinueTimeout is how long a request with "Expect: 100-continue" waits
	// for the server's 100 response before it sends its body.
	expectContinueTimeout = time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
)

// LivenessWindow is how long after a response a connection is assumed to be alive.
const LivenessWindow = 100 * time.Millisecond

// MaxIdlePerServer is the number of idle connections that are kept for each server.
const MaxIdlePerServer = 4

// TransportConfig configures a transport.
type TransportConfig struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Reuse enables HTTP keep-alive. Without it each request has a connection of its
	// own, and so cannot fail on a stale or unresponsive one.
	Reuse bool
	// Counted configures the connections.
	Counted CountedConfig
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns an http.Transport whose connections are of type CountedConn.
func NewTransport(cfg TransportConfig) *http.Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: keepAliveInterval}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return NewCountedConn(c, cfg.Counted), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !cfg.Reuse,
		MaxIdleConnsPerHost:    MaxIdlePerServer,
		IdleConnTimeout:        cfg.IdleTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: response.MaxHeadBytes,
	}
}

// DisableResend replaces the body of a request without one by an empty body of
// unknown length, which stops http.Transport from resending the request by itself.
// The transfer encoding "identity" keeps it from announcing a chunked body.
func DisableResend(out *http.Request) {
	out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(nil)), -1
	out.TransferEncoding = []string{"identity"}
}
