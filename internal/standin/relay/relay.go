// Package relay passes bytes between callers and one target over the loopback
// network, and can delay, hold, silence, reset or refuse their connections.
//
// # Usage
//
//	r, err := relay.New(ctx, "127.0.0.1:7000")
//	// Callers dial r.Address() in place of the target.
//	r.Set(relay.Fault{HoldDown: true}) // answers wait; requests still arrive
//	r.Set(relay.Fault{})               // what was held goes on
//	r.Close()
package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// network is the kind of all connections.
const network = "tcp"

// Fault is what happens to the connections of a relay. The zero value passes
// everything on at once.
type Fault struct {
	// Delay holds back what passes, in each direction.
	Delay time.Duration
	// HoldUp keeps bytes from callers back until the fault ends, and HoldDown
	// bytes from the target, as a network does that is cut and sends again.
	HoldUp, HoldDown bool
	// Refuse resets new connections.
	Refuse bool
}

// holds reports whether bytes wait that go up, from a caller, or down.
func (f Fault) holds(up bool) bool {
	if up {
		return f.HoldUp
	}
	return f.HoldDown
}

// Relay passes bytes on. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	cancel   context.CancelFunc
	ended    chan struct{}

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	pipes   map[*pipe]struct{}
}

// New starts a relay, which ends with the context or at Close.
func New(ctx context.Context, target string) (*Relay, error) {
	var cfg net.ListenConfig
	listener, err := cfg.Listen(ctx, network, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Relay{
		listener: listener,
		target:   target,
		cancel:   cancel,
		ended:    make(chan struct{}),
		changed:  make(chan struct{}),
		pipes:    make(map[*pipe]struct{}),
	}
	go r.accept(ctx)
	return r, nil
}

// Address returns the address that callers dial.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Set replaces the fault, for open and new connections.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets the open connections and returns their number.
func (r *Relay) Reset() int {
	return r.each((*pipe).reset)
}

// Silence makes the open connections silent for good and returns their number:
// what is sent on them is lost, and so is their end. New connections work.
func (r *Relay) Silence() int {
	return r.each((*pipe).silence)
}

func (r *Relay) each(do func(*pipe)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		do(p)
	}
	return len(r.pipes)
}

// Close ends the relay and its connections, and returns when all have ended.
func (r *Relay) Close() {
	r.cancel()
	<-r.ended
}

// accept relays connections until the listener closes, and then ends those that
// are open.
func (r *Relay) accept(ctx context.Context) {
	defer close(r.ended)
	var open sync.WaitGroup
	defer open.Wait()
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			r.cancel()
			return
		}
		open.Go(func() { r.connect(ctx, caller) })
	}
}

// connect dials the target for a caller and passes bytes until both ways have
// ended. A caller whose target cannot be reached is reset.
func (r *Relay) connect(ctx context.Context, caller net.Conn) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, network, r.target)
	if err != nil {
		abort(caller)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{relay: r, ctx: ctx, cancel: cancel, caller: caller, target: target}
	defer p.reset()
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	defer context.AfterFunc(ctx, p.reset)()
	var up sync.WaitGroup
	up.Go(func() { p.pass(target, caller, true) })
	p.pass(caller, target, false)
	up.Wait()
}

// add keeps a connection, unless new ones are refused.
func (r *Relay) add(p *pipe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Refuse {
		return false
	}
	r.pipes[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

// state returns the present fault, and a channel that is closed when it changes.
func (r *Relay) state() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault, r.changed
}
