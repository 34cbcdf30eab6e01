package gateway

import (
	"net/http"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// IsForwarded reports whether a request to the peer address is a call that another gateway
// has forwarded. On the address for callers the header has no meaning.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(forward.Header) != ""
}

// ServeForwarded serves a call that another gateway has forwarded. It is never forwarded
// again.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	carried, err := forward.Parse(r.Header.Get(forward.Header))
	if err == nil {
		err = g.forwarder.Accept(carried, r.RemoteAddr)
	}
	defer g.carried.Add(-1)
	if g.carried.Add(1) > int64(g.cfg.Forwarding.MaxCarried) && err == nil {
		err = code.Errorf(code.PeerBusy, "forwarded call of gateway %s: got %d calls in flight, want at most %d",
			carried.Gateway, g.carried.Load(), g.cfg.Forwarding.MaxCarried)
	}
	if err != nil {
		g.refuseForwarded(w, r, carried, err)
		return
	}
	g.serveFrom(w, r, &carried)
}

// refuseForwarded refuses a forwarded call before it is matched.
func (g *Gateway) refuseForwarded(w http.ResponseWriter, r *http.Request, carried forward.Call, err error) {
	g.refusedForwards.Inc(1)
	g.withRequestID(event.Warn(g.cfg.Logger, event.ForwardRefused), r).Str("From", carried.Gateway).Str("Remote", r.RemoteAddr).
		Int("Code", int(code.Of(err))).Err(err).Send()
	refused := refusal.NotRun(code.Of(err))
	from := carried.Gateway
	if from == "" {
		from = r.RemoteAddr
	}
	g.refuse(w, r, "", refused.WithForward(from, 0))
}
