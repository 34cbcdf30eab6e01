package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// listeners are the listeners of an instance.
type listeners struct {
	callers, admin, peer net.Listener
	// metrics is nil if there is no address for the metrics page alone.
	metrics net.Listener
}

// listen opens all listeners, or none if one of them fails. The listener for metrics may
// be missing.
func listen(ctx context.Context, g settings.Gateway, logger zerolog.Logger) (listeners, error) {
	var l listeners
	specs := []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers'", g.Listen, &l.callers},
		{"admin", g.Admin, &l.admin},
		{"peer", g.LinkAddress(), &l.peer},
	}
	for _, spec := range specs {
		opened, err := (&net.ListenConfig{}).Listen(ctx, "tcp", spec.address)
		if err != nil {
			l.close()
			return listeners{}, code.Wrapf(code.SettingsBadValue, err, "listen on %s address %s", spec.name, spec.address)
		}
		*spec.listener = opened
	}
	l.metrics = listenMetrics(ctx, g.Metrics, logger)
	return l, nil
}

// listenMetrics opens the listener for the metrics page alone. It returns nil if the
// address is empty or taken.
func listenMetrics(ctx context.Context, address string, logger zerolog.Logger) net.Listener {
	if address == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		event.Warn(logger, event.MetricsUnavailable).Str("Address", address).Err(err).Send()
		return nil
	}
	return l
}

func (l listeners) addresses() Addresses {
	return Addresses{Callers: l.callers.Addr().String(), Admin: l.admin.Addr().String(), Peer: l.peer.Addr().String()}
}

func (l listeners) close() {
	for _, open := range []net.Listener{l.callers, l.admin, l.peer, l.metrics} {
		if open != nil {
			_ = open.Close()
		}
	}
}

// run serves until the context ends or a server fails, then shuts down.
func (in *instance) run(ctx context.Context, l listeners) error {
	// The control plane runs until the last call has finished.
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	serveErrors := in.serve(l)
	components := in.startControl(controlCtx)
	a := l.addresses()
	event.Info(in.cfg.Logger, event.Started).Str("Listen", a.Callers).Str("Admin", a.Admin).Str("Peer", a.Peer).Send()
	if in.cfg.OnStarted != nil {
		in.cfg.OnStarted(a)
	}
	var runErr error
	select {
	case <-ctx.Done():
	case runErr = <-serveErrors:
	}
	aborted := in.stop()
	stopControl()
	for _, done := range components {
		<-done
	}
	in.close()
	event.Info(in.cfg.Logger, event.StopEnded).Int("Cut", aborted).Send()
	if aborted > 0 {
		runErr = errors.Join(runErr, code.Errorf(code.StopCut, "stop gateway %s: %d calls in flight were aborted", in.self.Name, aborted))
	}
	return runErr
}

// serve starts the HTTP servers on all listeners. Each server sends the error with
// which it ends to the returned channel.
func (in *instance) serve(l listeners) <-chan error {
	s := in.cfg.Settings
	in.callerServer = gateway.NewServer(gateway.ServerConfig{
		Handler:        in.gateway,
		MaxHeaderBytes: s.Limits.HeaderBytes,
		HeaderTimeout:  s.Limits.Progress,
		Logger:         in.cfg.Logger,
	})
	in.adminServer = &http.Server{Handler: in.adminHandler(), ReadHeaderTimeout: s.Limits.Progress, MaxHeaderBytes: s.Limits.HeaderBytes}
	peers := mux.NewRouter()
	in.links.Mount(peers)
	in.quotas.Mount(peers)
	in.peerIdle = connection.NewIdleCloser(keepIdle)
	in.peerServer = &http.Server{
		Handler: in.peerHandler(peers), ReadHeaderTimeout: s.Limits.Progress, MaxHeaderBytes: s.Limits.HeaderBytes + forward.MaxBytes,
		BaseContext: in.gateway.BaseContext, ConnContext: connection.Context, ConnState: in.peerIdle.StateChanged,
	}
	serveErrors := make(chan error, 4)
	callers := in.gateway.Listener(l.callers)
	go func() { serveErrors <- in.callerServer.Serve(callers) }()
	go func() { serveErrors <- in.adminServer.Serve(l.admin) }()
	gateways := connection.NewListener(l.peer, connection.ListenerConfig{
		RequestID: s.Headers.RequestID, Metrics: in.metrics.Scope().Tagged(map[string]string{"From": "Gateway"}), Logger: in.cfg.Logger,
	})
	go func() { serveErrors <- in.peerServer.Serve(gateways) }()
	if l.metrics != nil {
		in.metricsServer = &http.Server{Handler: in.metricsHandler(), ReadHeaderTimeout: s.Limits.Progress, MaxHeaderBytes: s.Limits.HeaderBytes}
		go func() { serveErrors <- in.metricsServer.Serve(l.metrics) }()
	}
	return serveErrors
}

// keepIdle is the idle timeout of connections from other gateways, which end them first.
func keepIdle() time.Duration {
	return connection.MaxIdleTimeout
}

// peerHandler serves calls that other gateways forward, whatever their path, and the links.
func (in *instance) peerHandler(links http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gateway.IsForwarded(r) {
			in.gateway.ServeForwarded(w, r)
			return
		}
		links.ServeHTTP(w, r)
	})
}

// startControl starts the components of the control plane. Each returned channel is
// closed when its component has ended.
func (in *instance) startControl(ctx context.Context) []<-chan struct{} {
	components := []<-chan struct{}{
		startComponent(ctx, func(ctx context.Context, done chan<- struct{}) {
			defer close(done)
			_ = in.links.Run(ctx)
		}),
		startComponent(ctx, in.quotas.Run),
		startComponent(ctx, in.followSettings),
		startComponent(ctx, in.watchEvacuations),
		startComponent(ctx, in.announceReach),
		startComponent(ctx, func(ctx context.Context, done chan<- struct{}) { in.metrics.ReportState(ctx, in.state, done) }),
	}
	if in.catalog != nil {
		return append(components,
			startComponent(ctx, in.catalog.Run),
			startComponent(ctx, in.syncGateways),
		)
	}
	return append(components,
		startComponent(ctx, in.registry.Run),
		startComponent(ctx, in.pollList),
		startComponent(ctx, in.gossipGenerations),
		startComponent(ctx, in.prober.Run),
	)
}

// startComponent starts a component and returns the channel that it closes when it has
// ended.
func startComponent(ctx context.Context, component func(context.Context, chan<- struct{})) <-chan struct{} {
	done := make(chan struct{})
	go component(ctx, done)
	return done
}

func (in *instance) adminHandler() http.Handler {
	return admin.New(admin.Config{
		Ready:      in.ready,
		Rules:      in.rules,
		Servers:    in.servers,
		Quarantine: func() []quarantine.Item { return in.gateway.Isolation().Items(time.Now()) },
		Release: func(digest mustardsaddle.RequestDigest) bool {
			return in.gateway.Isolation().Release(time.Now(), digest)
		},
		Evacuations:       in.evacuations,
		EvacuationChanger: in,
		Quotas:            in.quotaUses,
		Metrics:           in.metrics.Handler(),
	})
}

// metricsHandler serves the metrics page alone.
func (in *instance) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", in.metrics.Handler())
	return r
}

// state returns the state of the control plane for the metrics page.
func (in *instance) state() admin.State {
	r := in.membership.Roster()
	suspicions := in.gateway.Isolation().Counts()
	stated := in.gateway.Controllers().StatementCounts(time.Now())
	links, storeCalls, probes := in.links.Stats(), in.store.Stats(), in.probeBudget.Stats()
	s := admin.State{
		Ready:          in.ready() == nil,
		Generation:     in.generation.Load(),
		InFlight:       in.gateway.InFlight(),
		Gateways:       r.Gateways(),
		ServersLimited: stated.Limited,

		ServersStatedLeaving: stated.Leaving,
		ServersPaused:        stated.Paused,
		ServersWarmingUp:     stated.WarmingUp,
		RequestsSuspect:      suspicions.Suspect,
		RequestsQuarantined:  suspicions.Quarantined,
		GatewaysCutOff:       in.gateway.Forwarder().CutOff(time.Now()),
		ServicesLost:         len(in.gateway.Controllers().LostServices(time.Now())),
		Links:                links.Links,
		PeerMessages:         links.SentMessages + links.ReceivedMessages,
		PeerBytes:            links.SentBytes + links.ReceivedBytes,
		Probes:               probes.Used.Messages,
		ProbeBytes:           probes.Used.Bytes,
		ProbesRefused:        probes.Refused,
		ProbesAgreed:         probes.MessagesPerSecond,
		ProbeBytesAgreed:     probes.BytesPerSecond,
		StoreReads:           storeCalls.Reads,
		StoreWatches:         storeCalls.Watches,
		StoreWrites:          storeCalls.Writes,
		StoreFailures:        storeCalls.Failures,
		StoreUnsent:          storeCalls.OverBudget + storeCalls.BackedOff + storeCalls.StatusDropped,
	}
	buffers := in.buffers.Stats()
	s.BufferedBytes, s.BuffersRefused = buffers.Used, buffers.Refused
	if in.catalog != nil {
		s.StoreEra, s.StoreErasIgnored = in.catalog.Eras()
	}
	if s.ZonesEvacuated = len(in.evacuatedZones()); s.ZonesEvacuated > 0 {
		for _, n := range in.gateway.Controllers().EvacuatedInFlight() {
			s.EvacuatedInFlight += n
		}
	}
	for _, server := range in.servers() {
		s.Servers++
		if server.Leaving {
			s.Leaving++
		}
	}
	return s
}

// servers returns the endpoint servers that this gateway knows.
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
		for _, s := range in.markedServers(service, r) {
			servers = append(servers, admin.Server{Server: s})
		}
	}
	return servers
}

// close releases what is still open after the last call: the peer and admin servers,
// the gateway and the metrics.
func (in *instance) close() {
	_ = in.peerServer.Close()
	_ = in.adminServer.Close()
	if in.metricsServer != nil {
		_ = in.metricsServer.Close()
	}
	in.gateway.Close()
	_ = in.metrics.Close()
}
