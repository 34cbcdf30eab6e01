package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	// Server configures the server that runs in the process.
	Server Config
	// CrashDelay is the time for which a marked request runs before the process ends.
	CrashDelay time.Duration
	// Down is the time after which the process starts again, at the same address.
	Down time.Duration
	// OnStart is called with the incarnation and the address at each start.
	OnStart func(incarnation int64, address string)
}

// Crash records that a request ended a Process, or reached it at all.
type Crash struct {
	// Path is the path of the request with its query.
	Path string
	// At is when the request arrived.
	At time.Time
	// Ended is true if the process ended under the request, and false if it was ending
	// already.
	Ended bool
}

// Process is a server that ends under marked requests, and starts again after a time. It is
// safe for concurrent use.
type Process struct {
	cfg    ProcessConfig
	server *Server
	ended  chan struct{}

	mu       sync.Mutex
	crashes  []Crash
	crashing bool
	cancel   context.CancelFunc
	lost     int
}

// StartProcess starts a process that runs until the context ends.
func StartProcess(ctx context.Context, cfg ProcessConfig) (*Process, error) {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Process{cfg: cfg, server: New(cfg.Server), ended: make(chan struct{})}
	go p.run(ctx, ln)
	return p, nil
}

// Ended returns a channel that is closed when the process has ended for good.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Server returns the server that runs in the process.
func (p *Process) Server() *Server { return p.server }

// Crashes returns the marked requests that have reached the process, in order of arrival.
func (p *Process) Crashes() []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Crash(nil), p.crashes...)
}

// Lost returns the number of other requests that were in progress when the process ended.
func (p *Process) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Crash ends the process without a marked request.
func (p *Process) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashing = true
	if p.cancel != nil {
		p.cancel()
	}
}

// run starts the process again and again until the context ends.
func (p *Process) run(ctx context.Context, ln net.Listener) {
	defer close(p.ended)
	address := ln.Addr().String()
	for incarnation := int64(1); ; incarnation++ {
		p.cfg.OnStart(incarnation, address)
		p.runOnce(ctx, ln)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.cfg.Down):
		}
		next, err := listenAgain(ctx, address)
		if err != nil {
			return
		}
		ln = next
	}
}

// listenAgain listens on an address that was in use a moment ago.
func listenAgain(ctx context.Context, address string) (net.Listener, error) {
	for {
		ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err == nil || ctx.Err() != nil {
			return ln, errors.Join(err, ctx.Err())
		}
		time.Sleep(time.Millisecond)
	}
}

// runOnce serves until the process crashes or the context ends.
func (p *Process) runOnce(ctx context.Context, ln net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	p.cancel, p.crashing = cancel, false
	p.mu.Unlock()
	srv := &http.Server{Handler: p.handler(), ReadHeaderTimeout: time.Minute}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = srv.Serve(ln)
	}()
	<-ctx.Done()
	p.mu.Lock()
	p.lost += p.server.InFlight()
	p.mu.Unlock()
	_ = srv.Close()
	<-served
}

// handler returns the server's handler, in which marked requests end the process.
func (p *Process) handler() http.Handler {
	crashing := CrashHandler(p.server.Handler(), p.cfg.CrashDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancel()
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get(CrashParameter) != "" {
			p.recordMarked(r)
		}
		crashing.ServeHTTP(w, r)
	})
}

// recordMarked records that a marked request has arrived.
func (p *Process) recordMarked(r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, Crash{Path: r.URL.RequestURI(), At: time.Now(), Ended: !p.crashing})
	p.crashing = true
}
