package gateway

import (
	"log"
	"net/http"
	"strconv"
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
	// streamBufferBytes and connectionBufferBytes bound what is received of requests of HTTP/2
	// before it is read.
	streamBufferBytes     = 64 << 10
	connectionBufferBytes = 256 << 10
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
		Handler:           http.HandlerFunc(cfg.Handler.serveCaller),
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       connection.ServerIdleTimeout,
		BaseContext:       cfg.Handler.BaseContext,
		ConnContext:       connection.Context,
		ConnState:         idle.StateChanged,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
		ErrorLog: log.New(cfg.Logger, "", 0),
	}
}

// callerIdleTimeout returns how long a caller's idle connection is kept.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if table := g.rules.Load(); table != nil && table.IdleTimeout() > 0 {
		return min(table.IdleTimeout(), connection.MaxIdleTimeout)
	}
	return defaultCallerIdleTimeout
}

// serveCaller serves a request of a caller, and tells the caller how long its connection is kept.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 && r.ProtoAtLeast(1, 1) && !r.Close && !g.stopping() {
		timeout := g.callerIdleTimeout().Truncate(time.Second)
		if timeout > 0 && connection.KeepIdle(r, timeout) {
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(timeout/time.Second)))
		}
	}
	g.ServeHTTP(w, r)
}
