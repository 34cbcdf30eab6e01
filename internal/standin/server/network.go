package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// WithLatency wraps a handler with a simulated one-way network latency in each
// direction. The latency of the response delays its first byte only.
func WithLatency(next http.Handler, oneWay time.Duration) http.Handler {
	if oneWay <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(oneWay)
		next.ServeHTTP(&latencyWriter{ResponseWriter: w, delay: oneWay}, r)
	})
}

// latencyWriter delays the first byte of a response.
type latencyWriter struct {
	http.ResponseWriter
	delay time.Duration
	once  sync.Once
}

// WriteHeader waits for the delay, then writes the header.
func (w *latencyWriter) WriteHeader(status int) {
	w.once.Do(func() { time.Sleep(w.delay) })
	w.ResponseWriter.WriteHeader(status)
}

// Write waits for the delay before the first byte, then writes p.
func (w *latencyWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { time.Sleep(w.delay) })
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *latencyWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// SilentListener wraps a listener. Its open connections can be black-holed:
// their data is discarded in both directions while they stay open. New
// connections work.
type SilentListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// NewSilentListener returns a SilentListener that wraps l.
func NewSilentListener(l net.Listener) *SilentListener {
	return &SilentListener{Listener: l, conns: make(map[*silentConn]struct{})}
}

// Accept waits for the next connection.
func (l *SilentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Silence black-holes all open connections and returns their number.
func (l *SilentListener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(l.conns)
}

// silentConn is a connection that can be black-holed.
type silentConn struct {
	net.Conn
	listener *SilentListener

	mu     sync.Mutex
	silent bool
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read reads from the connection. Once it is silent, Read discards all data and
// returns only when the connection ends.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes to the connection. Once it is silent, Write discards p and
// reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
