package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxResponseHeaderBytes bounds the header of a server's answer.
	maxResponseHeaderBytes = 256 << 10
	// continueTimeout is how long a request with Expect waits for the server's
	// go-ahead before it sends its body.
	continueTimeout = time.Second
	// keepAliveInterval is the time between probes of an idle TCP connection.
	keepAliveInterval = 5 * time.Second
)

// AliveWindow is how long a connection counts as proved alive by an answer.
const AliveWindow = 100 * time.Millisecond

// IdlePerHost is how many unused connections to one server are kept.
const IdlePerHost = 4

// TransportConfig configures a transport.
type TransportConfig struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// Reuse lets connections serve many requests, one after another. Without it each
	// request has a new connection, and so none can meet one that is stale or
	// silent.
	Reuse bool
}

// NewTransport returns the connection library, over counted connections.
func NewTransport(cfg TransportConfig) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return NewCounted(c), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !cfg.Reuse,
		MaxIdleConnsPerHost:    IdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// NeverResend gives a request without a body one that is not nil and of unknown
// length, which stops http.Transport from resending the request by itself. The
// encoding stops it from announcing the body.
func NeverResend(out *http.Request) {
	out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(nil)), -1
	out.TransferEncoding = []string{"identity"}
}
