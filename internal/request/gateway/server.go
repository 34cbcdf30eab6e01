package gateway

import (
	"context"
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// Default values of ServerConfig.
const (
	defaultMaxHeaderBytes    = 64 << 10
	defaultHeaderTimeout     = 10 * time.Second
	defaultCallerIdleTimeout = 60 * time.Second
	maxConcurrentStreams     = 250
)

const (
	// maxArrivalWait is the longest time that a shutdown waits for the headers of requests
	// that have begun to arrive.
	maxArrivalWait = time.Second
	// arrivalPollInterval is the interval at which it checks for them.
	arrivalPollInterval = 5 * time.Millisecond
)

// ServerConfig configures the HTTP server for callers. A zero value means the
// default.
type ServerConfig struct {
	// Handler handles the requests.
	Handler *Gateway
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to read a request header.
	HeaderTimeout time.Duration
	// Logger receives the errors that net/http logs.
	Logger zerolog.Logger
}

// NewServer returns a server for HTTP/1.1 and unencrypted HTTP/2. The total time of
// a request is not limited; bodies are limited by the progress timeout. Idle
// connections are kept for the time that the rules in force set.
func NewServer(cfg ServerConfig) *http.Server {
	setDefault(&cfg.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&cfg.HeaderTimeout, defaultHeaderTimeout)
	idle := connection.NewIdleCloser(cfg.Handler.callerIdleTimeout)
	cfg.Handler.idle = idle
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       connection.ServerIdleTimeout,
		ConnState:         idle.StateChanged,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ErrorLog:          log.New(cfg.Logger, "", 0),
	}
}

// Shutdown shuts down the server of NewServer gracefully: it finishes the requests that
// have arrived or begun to arrive, and closes idle connections. http.Server.Shutdown alone
// counts a connection as idle until it has read the whole header of a request.
// SetStopping must precede it, so that no connection becomes idle again.
func (g *Gateway) Shutdown(ctx context.Context, srv *http.Server) error {
	timeout := time.NewTimer(maxArrivalWait)
	defer timeout.Stop()
	poll := time.NewTicker(arrivalPollInterval)
	defer poll.Stop()
	for g.idle.CloseIdle() > 0 {
		select {
		case <-poll.C:
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	return srv.Shutdown(ctx)
}

// callerIdleTimeout returns how long a caller's idle connection is kept.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if table := g.rules.Load(); table != nil && table.IdleTimeout() > 0 {
		return min(table.IdleTimeout(), connection.MaxIdleTimeout)
	}
	return defaultCallerIdleTimeout
}
