// Package relay is a TCP proxy on the loopback interface that injects network
// faults: it can delay, hold, silence, reset or refuse the connections between
// callers and one target.
//
// # Usage
//
//	r, err := relay.New(ctx, "127.0.0.1:7000")
//	// Callers dial r.Address() instead of the target.
//	r.SetFault(relay.Fault{HoldDown: true}) // responses are held; requests still arrive
//	r.SetFault(relay.Fault{})               // held data is delivered
//	r.Close()
package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// network is the network on which the relay listens and dials.
const network = "tcp"

// Fault is the set of faults injected into the connections of a relay. The zero
// value injects none.
type Fault struct {
	// Delay is how long each chunk of data is held before it is forwarded, in
	// each direction. The chunks of one direction are delayed one after another,
	// so a delay also limits the throughput.
	Delay time.Duration
	// HoldUp holds data from callers until the fault is cleared, and HoldDown
	// data from the target. No data is lost, as on a network that fails for a
	// time while TCP retransmits.
	HoldUp, HoldDown bool
	// Refuse resets new connections.
	Refuse bool
}

// holds reports whether data is held in a direction: up from callers to the
// target, or down.
func (f Fault) holds(up bool) bool {
	if up {
		return f.HoldUp
	}
	return f.HoldDown
}

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	cancel   context.CancelFunc
	closed   chan struct{}

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced whenever fault is set.
	changed chan struct{}
	pipes   map[*pipe]struct{}
}

// New starts a relay to a target. It runs until the context ends or Close is
// called.
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
		closed:   make(chan struct{}),
		changed:  make(chan struct{}),
		pipes:    make(map[*pipe]struct{}),
	}
	go r.accept(ctx)
	return r, nil
}

// Address returns the address on which the relay accepts connections.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// SetFault replaces the injected faults, for open and new connections.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets all open connections and returns their number.
func (r *Relay) Reset() int {
	return r.forEachPipe((*pipe).reset)
}

// Silence black-holes the open connections and returns their number: data sent
// on them, and their close, never reaches the other side. New connections work.
func (r *Relay) Silence() int {
	return r.forEachPipe((*pipe).silence)
}

// forEachPipe calls do for each open connection and returns their number.
func (r *Relay) forEachPipe(do func(*pipe)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		do(p)
	}
	return len(r.pipes)
}

// Close stops the relay, resets its connections and waits until all have ended.
func (r *Relay) Close() {
	r.cancel()
	<-r.closed
}

// accept serves connections until the listener is closed, then waits until the
// open ones have ended.
func (r *Relay) accept(ctx context.Context) {
	defer close(r.closed)
	var pipes sync.WaitGroup
	defer pipes.Wait()
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			r.cancel()
			return
		}
		pipes.Go(func() { r.serve(ctx, caller) })
	}
}

// serve dials the target for a caller and forwards data until both directions
// have ended. If the target cannot be reached, the caller's connection is
// reset.
func (r *Relay) serve(ctx context.Context, caller net.Conn) {
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
	up.Go(func() { p.copyOneWay(target, caller, true) })
	p.copyOneWay(caller, target, false)
	up.Wait()
}

// add registers a connection, or returns false if new ones are refused.
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

// currentFault returns the current fault, and a channel that is closed when it
// is replaced.
func (r *Relay) currentFault() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault, r.changed
}
