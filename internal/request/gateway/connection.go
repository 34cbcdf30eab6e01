package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
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

// manner says by which connection an attempt goes.
type manner int

const (
	// newConnection is one that nothing else uses, before or after.
	newConnection manner = iota
	// anyConnection may be one that has served before.
	anyConnection
	// aliveConnection may be one that carried an answer within aliveWindow.
	aliveConnection
)

// aliveWindow is how long a connection counts as proved alive by an answer.
const aliveWindow = 100 * time.Millisecond

// newTransport returns the connection library in one of two manners. With reuse,
// connections serve many requests, one after another. Without, each request has a
// new connection, and so none can meet one that is stale or silent.
func newTransport(cfg Config, reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return connection.NewCounted(c), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !reuse,
		MaxIdleConnsPerHost:    defaultIdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
