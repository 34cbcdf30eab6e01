package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Distant returns a handler that is reached over a network with the given delay
// in each direction. The delay of the answer comes before its first byte.
func Distant(next http.Handler, oneWay time.Duration) http.Handler {
	if oneWay <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(oneWay)
		next.ServeHTTP(&distantWriter{ResponseWriter: w, delay: oneWay}, r)
	})
}

// distantWriter holds back the first byte of an answer.
type distantWriter struct {
	http.ResponseWriter
	delay time.Duration
	once  sync.Once
}

// WriteHeader waits for the delay, then writes the header.
func (w *distantWriter) WriteHeader(status int) {
	w.once.Do(func() { time.Sleep(w.delay) })
	w.ResponseWriter.WriteHeader(status)
}

// Write waits for the delay at the first byte, then writes p.
func (w *distantWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { time.Sleep(w.delay) })
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *distantWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// SilentListener is a listener whose open connections can go silent for good:
// what they send and receive is lost, while new connections work.
type SilentListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// NewSilentListener returns a listener over l.
func NewSilentListener(l net.Listener) *SilentListener {
	return &SilentListener{Listener: l, conns: make(map[*silentConn]struct{})}
}

// Accept waits for the next connection.
func (l *SilentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Silence makes all open connections silent, and returns how many.
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

type silentConn struct {
	net.Conn
	owner *SilentListener

	mu     sync.Mutex
	silent bool
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read reads until the connection is silent, and then drops what comes.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes until the connection is silent, and then drops p.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
