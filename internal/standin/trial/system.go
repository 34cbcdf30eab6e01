package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/load"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Network -output=network_string.go

// Network selects the size and the delays of a user's network.
type Network int

const (
	// ShedNetwork has 20 servers for the Booking service, 6 for Library, and a one-way
	// delay of 1 ms between callers and gateways.
	ShedNetwork Network = iota
	// Bureau has 30 servers for the Orders service, 6 for Archive, and a one-way delay
	// of 3 ms between callers and gateways.
	Bureau
)

const (
	zones          = 3
	numGateways    = 15
	slotsPerServer = 2
	crossZoneDelay = 500 * time.Microsecond
	headerTimeout  = 5 * time.Second
	// maxInFlight limits the calls in flight, and so the open sockets: each call may hold
	// both ends of its connections, since callers, gateways and servers share this process.
	maxInFlight = 1000
)

// service is a service of a Network. Each of its servers accepts the given number of
// connections.
type service struct {
	name        string
	servers     int
	connections int
}

// layout returns the services of a network, and the one-way delay between callers and
// gateways.
func (n Network) layout() ([]service, time.Duration) {
	if n == Bureau {
		return []service{{"Orders", 30, 250}, {"Archive", 6, 250}}, 3 * time.Millisecond
	}
	return []service{{"Booking", 20, 200}, {"Library", 6, 200}}, time.Millisecond
}

// zoneName returns the name of an availability zone.
func zoneName(zone int) string {
	return string(rune('a' + zone))
}

// endpoint is a stand-in endpoint server. It listens on one address per zone, so that
// the delay of a request depends on the zone that it comes from.
type endpoint struct {
	name        string
	service     string
	zone        int
	connections int
	incarnation int64
	leaving     bool
	server      *server.Server
	listeners   []*server.SilentListener
	httpServers []*http.Server
	serveErrs   chan error
}

// newEndpoint starts an endpoint server.
func newEndpoint(ctx context.Context, cfg server.Config, svc service, zone int) (*endpoint, error) {
	e := &endpoint{
		name: cfg.Name, service: svc.name, zone: zone, connections: svc.connections, incarnation: 1,
		server: server.New(cfg), serveErrs: make(chan error, zones),
	}
	for from := range zones {
		delay := time.Duration(0)
		if from != zone {
			delay = crossZoneDelay
		}
		l, err := listen(ctx)
		if err != nil {
			return nil, errors.Join(err, e.close())
		}
		srv := &http.Server{Handler: server.WithLatency(e.server.Handler(), delay), ReadHeaderTimeout: headerTimeout}
		silent := server.NewSilentListener(l)
		e.listeners = append(e.listeners, silent)
		e.httpServers = append(e.httpServers, srv)
		go func() { e.serveErrs <- srv.Serve(silent) }()
	}
	return e, nil
}

// listen listens on a free port of the loopback interface.
func listen(ctx context.Context) (net.Listener, error) {
	lc := net.ListenConfig{}
	return lc.Listen(ctx, "tcp", "127.0.0.1:0")
}

// entry returns the server's entry in the list of servers for the gateways of a zone.
func (e *endpoint) entry(from int) mustardsaddle.Server {
	return mustardsaddle.Server{
		Name: e.name, Incarnation: e.incarnation, Address: e.listeners[from].Addr().String(),
		Service: e.service, Zone: zoneName(e.zone), Slots: slotsPerServer, Connections: e.connections, Leaving: e.leaving,
	}
}

// close stops the server abruptly and closes its connections.
func (e *endpoint) close() error {
	var errs []error
	for _, srv := range e.httpServers {
		errs = append(errs, srv.Close())
	}
	for range e.httpServers {
		if err := <-e.serveErrs; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	e.httpServers = nil
	return errors.Join(errs...)
}

// gatewayServer is an HTTP server that serves the gateway of a gatewayHandler.
type gatewayServer struct {
	zone       int
	handler    *gatewayHandler
	url        string
	httpServer *http.Server
	serveErr   chan error
}

// newGatewayServer starts a gateway.
func newGatewayServer(ctx context.Context, cfg handlerConfig, zone int) (*gatewayServer, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	h, err := newGatewayHandler(ctx, cfg)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	g := &gatewayServer{
		zone: zone, handler: h, url: "http://" + l.Addr().String(),
		httpServer: gateway.NewServer(gateway.ServerConfig{Handler: h.gateway}), serveErr: make(chan error, 1),
	}
	go func() { g.serveErr <- g.httpServer.Serve(l) }()
	return g, nil
}

// close stops the gateway.
func (g *gatewayServer) close() error {
	_ = g.httpServer.Close()
	err := <-g.serveErr
	g.handler.close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// system is the system under test of one run: its endpoint servers and gateways.
type system struct {
	services  []service
	delay     time.Duration
	endpoints []*endpoint
	gateways  []*gatewayServer
}

// newSystem starts the endpoint servers and gateways of a run.
func newSystem(ctx context.Context, cfg CompareConfig, plan runPlan) (*system, error) {
	sys := &system{}
	sys.services, sys.delay = cfg.Network.layout()
	for _, svc := range sys.services {
		for i := range svc.servers {
			e, err := newEndpoint(ctx, server.Config{
				Name: fmt.Sprintf("%s-%02d", svc.name, i), Slots: slotsPerServer, Queue: cfg.Queue, Work: cfg.Work,
				NoisyNeighbor: plan.scenario.neighbor, Seed: cfg.Seed + uint64(len(sys.endpoints)),
			}, svc, i%zones)
			if err != nil {
				return nil, errors.Join(err, sys.close())
			}
			sys.endpoints = append(sys.endpoints, e)
		}
	}
	fleet := newFleet(plan.candidate)
	for i, vm := range fleet {
		g, err := newGatewayServer(ctx, handlerConfig{
			timeout: cfg.Timeout,
			name:    vm.Name, zone: vm.Zone, candidate: plan.candidate,
			services: sys.services, fleet: fleet, seed: cfg.Seed<<8 + uint64(i),
		}, i%zones)
		if err != nil {
			return nil, errors.Join(err, sys.close())
		}
		sys.gateways = append(sys.gateways, g)
	}
	sys.publishServers(time.Now())
	return sys, nil
}

// newFleet returns the VMs of the gateways that a candidate runs on.
func newFleet(c candidate) []mustardsaddle.VM {
	n := numGateways
	if c.central {
		n = 1
	}
	fleet := make([]mustardsaddle.VM, n)
	for i := range fleet {
		fleet[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%02d", i), Incarnation: 1, Zone: zoneName(i % zones)}
	}
	return fleet
}

// publishServers sends the current list of servers to all gateways.
func (sys *system) publishServers(now time.Time) {
	for _, g := range sys.gateways {
		for _, svc := range sys.services {
			var servers []mustardsaddle.Server
			for _, e := range sys.endpoints {
				if e.service == svc.name {
					servers = append(servers, e.entry(g.zone))
				}
			}
			g.handler.gateway.SetServers(now, svc.name, servers)
		}
	}
}

// firstEndpoints returns the first n servers of the first service.
func (sys *system) firstEndpoints(n int) []*endpoint {
	return sys.endpoints[:n]
}

// slots returns the number of slots of all servers.
func (sys *system) slots() int {
	return len(sys.endpoints) * slotsPerServer
}

// loadConfig returns the configuration of the load generator for a run.
func (sys *system) loadConfig(cfg CompareConfig, plan runPlan) load.Config {
	out := load.Config{
		Rate:     plan.scenario.utilization * float64(sys.slots()) / cfg.Work.Seconds(),
		Phases:   plan.scenario.phases(cfg.Duration),
		Warmup:   warmup,
		Duration: cfg.Duration,
		Work:     cfg.Work,
		Delay:    sys.delay,
		Timeout:  cfg.Timeout + time.Second,
		InFlight: maxInFlight,
		Seed:     cfg.Seed + uint64(plan.repetition),
	}
	for _, g := range sys.gateways {
		out.Targets = append(out.Targets, g.url)
	}
	for _, svc := range sys.services {
		out.Streams = append(out.Streams, load.Stream{Service: svc.name, Path: "/" + svc.name, Share: float64(svc.servers)})
	}
	return out
}

// injectFaults injects the faults at their times, until all are injected or the
// context ends, and then closes done.
func (sys *system) injectFaults(ctx context.Context, faults []fault, duration time.Duration, done chan<- struct{}) {
	defer close(done)
	begin := time.Now()
	for _, f := range faults {
		timer := time.NewTimer(time.Until(begin.Add(time.Duration(f.at * float64(duration)))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			f.inject(sys)
		}
	}
}

// close stops the gateways, then the endpoint servers.
func (sys *system) close() error {
	var errs []error
	for _, g := range sys.gateways {
		errs = append(errs, g.close())
	}
	for _, e := range sys.endpoints {
		errs = append(errs, e.close())
	}
	return errors.Join(errs...)
}

// runOne executes one run on a new system.
func runOne(ctx context.Context, cfg CompareConfig, plan runPlan) (Figures, error) {
	sys, err := newSystem(ctx, cfg, plan)
	if err != nil {
		return Figures{}, err
	}
	figures, err := sys.run(ctx, cfg, plan)
	return figures, errors.Join(err, sys.close())
}

// run generates the load of a run, injects its faults, and returns the measurements.
func (sys *system) run(ctx context.Context, cfg CompareConfig, plan runPlan) (Figures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faultsDone := make(chan struct{})
	go sys.injectFaults(ctx, plan.scenario.faults, cfg.Duration, faultsDone)
	begin := time.Now()
	cpu := processorTime()
	result, err := load.Run(ctx, sys.loadConfig(cfg, plan))
	cpu = processorTime() - cpu
	elapsed := time.Since(begin).Seconds()
	ctxErr := ctx.Err()
	cancel()
	<-faultsDone
	if err := errors.Join(err, ctxErr); err != nil {
		return Figures{}, err
	}
	return sys.figures(cfg, result, cpu, elapsed), nil
}

// figures returns the measurements of a run.
func (sys *system) figures(cfg CompareConfig, r load.Result, cpu time.Duration, seconds float64) Figures {
	var probeCost report.Cost
	for _, g := range sys.gateways {
		c := g.handler.probeBudget.Stats().Used
		probeCost.Messages += c.Messages
		probeCost.Bytes += c.Bytes
	}
	var sheds int64
	for _, e := range sys.endpoints {
		sheds += e.server.Count().Shed
	}
	f := Figures{
		Calls: r.All.Calls, P50: r.All.P50, P99: r.All.P99, P999: r.All.P999, Within99: r.All.Within99, Goodput: r.All.Goodput,
		Failed: r.All.Share(load.Failed), NotRun: r.All.Share(load.NotRun), Unknown: r.All.Share(load.Unknown),
		Broken: r.All.Share(load.Broken) + r.All.Share(load.Dropped), Sheds: float64(sheds) / seconds,
		Probes: float64(probeCost.Messages) / seconds, ProbeBytes: float64(probeCost.Bytes) / seconds,
	}
	if cfg.Parallel == 1 && r.All.Calls > 0 {
		f.ProcessorMicros = float64(cpu.Microseconds()) / float64(r.All.Calls)
	}
	return f
}
