package gateway

import (
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// Defaults of a ServerConfig.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultCallerIdle    = 60 * time.Second
	maxStreams           = 250
)

// ServerConfig configures the HTTP server towards callers. Zero values mean the
// default.
type ServerConfig struct {
	// Handler answers the requests.
	Handler *Gateway
	// HeaderBytes bounds a request header.
	HeaderBytes int
	// HeaderTimeout bounds the reading of a request header.
	HeaderTimeout time.Duration
	// Logger takes what net/http reports.
	Logger zerolog.Logger
}

// NewServer returns a server for HTTP/1.1 and unencrypted HTTP/2. It has no bound
// on the whole time of a request: bodies are bounded by their progress. Unused
// connections are kept for the time that the rules in force state.
func NewServer(cfg ServerConfig) *http.Server {
	setDefault(&cfg.HeaderBytes, defaultHeaderBytes)
	setDefault(&cfg.HeaderTimeout, defaultHeaderTimeout)
	idle := connection.NewIdleCloser(cfg.Handler.idleLimit)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    cfg.HeaderBytes,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       connection.ServerIdleTimeout,
		ConnState:         idle.StateChanged,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.New(cfg.Logger, "", 0),
	}
}

// idleLimit returns how long a caller's connection is kept without a request.
func (g *Gateway) idleLimit() time.Duration {
	if table := g.rules.Load(); table != nil && table.Idle() > 0 {
		return min(table.Idle(), connection.MaxIdleTimeout)
	}
	return defaultCallerIdle
}
