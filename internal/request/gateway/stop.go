package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// errStopped is the cause of the end of calls that a stop does not wait for.
var errStopped = errors.New("serve call: the gateway stops")

// stopState is the state of a stop.
type stopState struct {
	// period is the period of the stop; nil before it.
	period atomic.Pointer[drain.Period]
	// calls is the context of all calls. EndCalls ends it with endCalls, and ended counts the
	// calls that were in flight.
	calls    context.Context
	endCalls context.CancelCauseFunc
	ended    atomic.Int64
}

// SetStopping begins a stop: each caller's connection is closed after its current call. Calls
// in progress are still served, and new ones as far as the period permits.
func (g *Gateway) SetStopping(p drain.Period) {
	g.stop.period.Store(&p)
}

// stopping reports whether a stop has begun.
func (g *Gateway) stopping() bool {
	return g.stop.period.Load() != nil
}

// BaseContext returns the context of all calls, which EndCalls ends. It is the hook of an
// http.Server whose handler is this gateway.
func (g *Gateway) BaseContext(net.Listener) context.Context {
	return g.stop.calls
}

// EndCalls ends all calls in flight, and those that arrive later. Each gets a response that
// states what is known about its execution, unless its response has begun.
func (g *Gateway) EndCalls() {
	g.stop.endCalls(errStopped)
}

// CallsEnded returns the number of calls that EndCalls has ended.
func (g *Gateway) CallsEnded() int {
	return int(g.stop.ended.Load())
}

// Shutdown shuts down the server of NewServer gracefully: it accepts no more connections,
// closes idle ones, and returns when the requests that have arrived or begun to arrive are
// finished. http.Server.Shutdown alone closes the connection of a request that it reads later
// without a response. SetStopping must precede it, so that no connection becomes idle again.
func (g *Gateway) Shutdown(ctx context.Context, srv *http.Server) error {
	if g.listener != nil {
		_ = g.listener.Close()
	}
	g.idle.Drain(ctx, g.InFlight)
	return srv.Shutdown(ctx)
}

// refuseStopping refuses a call that may not end before the gateway does. It returns nil if the
// call is taken.
func (c *call) refuseStopping(now time.Time) *refusal.Refusal {
	p := c.g.stop.period.Load()
	if p == nil || p.Takes(now, drain.Request{Deadline: c.deadline, Unbounded: c.unboundedUpload()}) {
		return nil
	}
	return refusal.NotRun(code.CallStopping)
}

// endedByStop reports whether the call was ended by EndCalls.
func (c *call) endedByStop() bool {
	return errors.Is(context.Cause(c.r.Context()), errStopped)
}
