package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// listeners are the open addresses of an instance.
type listeners struct {
	callers, admin, peer net.Listener
}

// listen opens all addresses, or none.
func listen(ctx context.Context, g settings.Gateway) (listeners, error) {
	var l listeners
	opens := []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers'", g.Listen, &l.callers},
		{"admin", g.Admin, &l.admin},
		{"peer", g.LinkAddress(), &l.peer},
	}
	for _, o := range opens {
		opened, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.address)
		if err != nil {
			l.close()
			return listeners{}, code.Wrapf(code.SettingsBadValue, err, "open %s address %s", o.name, o.address)
		}
		*o.listener = opened
	}
	return l, nil
}

func (l listeners) addresses() Addresses {
	return Addresses{Callers: l.callers.Addr().String(), Admin: l.admin.Addr().String(), Peer: l.peer.Addr().String()}
}

func (l listeners) close() {
	for _, open := range []net.Listener{l.callers, l.admin, l.peer} {
		if open != nil {
			_ = open.Close()
		}
	}
}

// run serves until the context ends, then stops.
func (in *instance) run(ctx context.Context, l listeners) error {
	// The control side works on until the last call has finished.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	served := in.serve(l)
	parts := in.start(work)
	a := l.addresses()
	event.Info(in.cfg.Logger, event.Started).Str("Listen", a.Callers).Str("Admin", a.Admin).Str("Peer", a.Peer).Send()
	if in.cfg.Started != nil {
		in.cfg.Started(a)
	}
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-served:
	}
	cut := in.stop()
	end()
	for _, done := range parts {
		<-done
	}
	in.close()
	event.Info(in.cfg.Logger, event.StopEnded).Int("Cut", cut).Send()
	if cut > 0 {
		failed = errors.Join(failed, code.Errorf(code.StopCut, "stop gateway %s: %d calls were cut", in.self.Name, cut))
	}
	return failed
}

// serve answers on all addresses. The channel takes the error of an address that
// ends before the instance stops.
func (in *instance) serve(l listeners) <-chan error {
	s := in.cfg.Settings
	in.front = gateway.NewServer(gateway.ServerConfig{
		Handler:       in.gateway,
		HeaderBytes:   s.Limits.HeaderBytes,
		HeaderTimeout: s.Limits.Progress,
		Logger:        in.cfg.Logger,
	})
	in.back = &http.Server{Handler: in.admin(), ReadHeaderTimeout: s.Limits.Progress}
	peers := mux.NewRouter()
	in.links.Mount(peers)
	in.side = &http.Server{Handler: peers, ReadHeaderTimeout: s.Limits.Progress}
	served := make(chan error, 3)
	go func() { served <- in.front.Serve(in.gateway.Listener(l.callers)) }()
	go func() { served <- in.back.Serve(l.admin) }()
	go func() { served <- in.side.Serve(l.peer) }()
	return served
}

// start begins the control side. Each channel is closed when its part has ended.
func (in *instance) start(ctx context.Context) []<-chan struct{} {
	parts := []<-chan struct{}{
		begin(ctx, func(ctx context.Context, done chan<- struct{}) {
			defer close(done)
			_ = in.links.Run(ctx)
		}),
		begin(ctx, in.followSettings),
		begin(ctx, func(ctx context.Context, done chan<- struct{}) { in.metrics.Follow(ctx, in.state, done) }),
	}
	if in.catalog != nil {
		return append(parts,
			begin(ctx, in.catalog.Run),
			begin(ctx, in.meet),
		)
	}
	return append(parts,
		begin(ctx, in.registry.Run),
		begin(ctx, in.followList),
		begin(ctx, in.followTold),
		begin(ctx, in.prober.Run),
	)
}

// begin starts a part and returns the channel on which it reports its end.
func begin(ctx context.Context, part func(context.Context, chan<- struct{})) <-chan struct{} {
	done := make(chan struct{})
	go part(ctx, done)
	return done
}

func (in *instance) admin() http.Handler {
	return admin.New(admin.Config{
		Ready:   in.ready,
		Rules:   in.rules,
		Servers: in.servers,
		Metrics: in.metrics.Handler(),
	})
}

// state returns what the metrics page shows of the control side.
func (in *instance) state() admin.State {
	r := in.membership.Roster()
	links, calls, probes := in.links.Stats(), in.store.Stats(), in.budget.Stats()
	s := admin.State{
		Ready:            in.ready() == nil,
		Generation:       in.generation.Load(),
		InFlight:         in.gateway.InFlight(),
		Gateways:         r.Gateways(),
		Links:            links.Links,
		PeerMessages:     links.SentMessages + links.ReceivedMessages,
		PeerBytes:        links.SentBytes + links.ReceivedBytes,
		Probes:           probes.Spent.Messages,
		ProbeBytes:       probes.Spent.Bytes,
		ProbesRefused:    probes.Refused,
		ProbesAgreed:     probes.AgreedMessagesPerSecond,
		ProbeBytesAgreed: probes.AgreedBytesPerSecond,
		StoreReads:       calls.Reads,
		StoreWatches:     calls.Watches,
		StoreWrites:      calls.Writes,
		StoreFailures:    calls.Failures,
		StoreUnsent:      calls.OverBudget + calls.BackedOff + calls.StatusDropped,
	}
	for _, server := range in.servers() {
		s.Servers++
		if server.Leaving {
			s.Leaving++
		}
	}
	return s
}

// servers returns the endpoint servers as this gateway sees them.
func (in *instance) servers() []admin.Server {
	var servers []admin.Server
	if in.catalog != nil {
		for _, s := range in.catalog.Servers() {
			servers = append(servers, admin.Server{Server: s})
		}
		return servers
	}
	r := in.membership.Roster()
	for _, service := range r.Services() {
		for _, s := range r.Servers(service) {
			servers = append(servers, admin.Server{Server: s})
		}
	}
	return servers
}

// graceMargin is the part of the platform's grace, as one part in this many, that is
// left for the end of the process after its last call.
const graceMargin = 12

// stop ends the calls gracefully and returns how many were cut, which only an abort
// and the end of the platform's grace do.
func (in *instance) stop() int {
	event.Info(in.cfg.Logger, event.StopBegun).Int("InFlight", in.gateway.InFlight()).Send()
	in.stopping.Store(true)
	leaving := mustardsaddle.Mark{Name: in.self.Name, Incarnation: in.self.Incarnation, Seq: roster.FinalSeq, Leaving: true}
	in.spreadFresh("", in.membership.marks(time.Now(), []mustardsaddle.Mark{leaving}))
	in.gateway.SetStopping()
	settings := in.current.Load().Stop
	var over <-chan time.Time
	if settings.Grace > 0 {
		timer := time.NewTimer(settings.Grace - settings.Grace/graceMargin)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-time.After(settings.Lag):
	case <-in.cfg.Abort:
	}
	return in.shutdown(over)
}

// shutdown waits for the last call, until an abort or until the time is over, and
// returns how many calls were cut.
func (in *instance) shutdown(over <-chan time.Time) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = in.front.Shutdown(ctx) // it fails only by the end of its context
	}()
	select {
	case <-stopped:
		return 0
	case <-over:
	case <-in.cfg.Abort:
	}
	cut := in.gateway.InFlight()
	cancel()
	<-stopped
	_ = in.front.Close()
	return cut
}

// close ends what is left after the last call.
func (in *instance) close() {
	_ = in.side.Close()
	_ = in.back.Close()
	in.gateway.Close()
	_ = in.metrics.Close()
}
