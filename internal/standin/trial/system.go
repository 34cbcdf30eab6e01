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

// Network is a users' network, with its sizes and delays.
type Network int

const (
	// ShedNetwork has 20 servers for bookings and 6 for the library, and 1 ms
	// to callers.
	ShedNetwork Network = iota
	// Bureau has 30 servers for orders and 6 for the archive, and 3 ms to
	// callers.
	Bureau
)

const (
	zones            = 3
	gateways         = 15
	slotsPerServer   = 2
	delayBetweenZone = 500 * time.Microsecond
	headerTimeout    = 5 * time.Second
	// maxCalls bounds the calls in flight, each of which may hold a connection
	// at both ends in this one process.
	maxCalls = 1000
)

// service is one service of a network.
type service struct {
	name        string
	servers     int
	connections int
}

// layout returns the services of a network and the delay to callers.
func (n Network) layout() ([]service, time.Duration) {
	if n == Bureau {
		return []service{{"Orders", 30, 250}, {"Archive", 6, 250}}, 3 * time.Millisecond
	}
	return []service{{"Booking", 20, 200}, {"Library", 6, 200}}, time.Millisecond
}

// zoneName returns the name of a zone.
func zoneName(zone int) string {
	return string(rune('a' + zone))
}

// endpoint is a stand-in server with one address for each zone, so that the
// delay depends on where a request comes from.
type endpoint struct {
	name        string
	service     string
	zone        int
	connections int
	incarnation int64
	leaving     bool
	server      *server.Server
	listeners   []*server.SilentListener
	https       []*http.Server
	ended       chan error
}

// newEndpoint starts a server.
func newEndpoint(ctx context.Context, cfg server.Config, svc service, zone int) (*endpoint, error) {
	e := &endpoint{
		name: cfg.Name, service: svc.name, zone: zone, connections: svc.connections, incarnation: 1,
		server: server.New(cfg), ended: make(chan error, zones),
	}
	for from := range zones {
		delay := time.Duration(0)
		if from != zone {
			delay = delayBetweenZone
		}
		l, err := listen(ctx)
		if err != nil {
			return nil, errors.Join(err, e.close())
		}
		srv := &http.Server{Handler: server.Distant(e.server.Handler(), delay), ReadHeaderTimeout: headerTimeout}
		silent := server.NewSilentListener(l)
		e.listeners = append(e.listeners, silent)
		e.https = append(e.https, srv)
		go func() { e.ended <- srv.Serve(silent) }()
	}
	return e, nil
}

func listen(ctx context.Context) (net.Listener, error) {
	lc := net.ListenConfig{}
	return lc.Listen(ctx, "tcp", "127.0.0.1:0")
}

// entry returns the server as the gateways of a zone see it.
func (e *endpoint) entry(from int) mustardsaddle.Server {
	return mustardsaddle.Server{
		Name: e.name, Incarnation: e.incarnation, Address: e.listeners[from].Addr().String(),
		Service: e.service, Zone: zoneName(e.zone), Slots: slotsPerServer, Connections: e.connections, Leaving: e.leaving,
	}
}

// close ends the server and cuts its connections.
func (e *endpoint) close() error {
	var errs []error
	for _, srv := range e.https {
		errs = append(errs, srv.Close())
	}
	for range e.https {
		if err := <-e.ended; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	e.https = nil
	return errors.Join(errs...)
}

// node is a gateway with its address.
type node struct {
	zone  int
	front *front
	url   string
	http  *http.Server
	ended chan error
}

// newNode starts a gateway.
func newNode(ctx context.Context, cfg frontConfig, zone int) (*node, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	f, err := newFront(ctx, cfg)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	n := &node{
		zone: zone, front: f, url: "http://" + l.Addr().String(),
		http: gateway.NewServer(gateway.ServerConfig{Handler: f.gateway}), ended: make(chan error, 1),
	}
	go func() { n.ended <- n.http.Serve(l) }()
	return n, nil
}

// close ends the gateway.
func (n *node) close() error {
	_ = n.http.Close()
	err := <-n.ended
	n.front.close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// system is a whole small system.
type system struct {
	services  []service
	delay     time.Duration
	endpoints []*endpoint
	nodes     []*node
}

// newSystem starts the servers and the gateways of a run.
func newSystem(ctx context.Context, cfg CompareConfig, j job) (*system, error) {
	sys := &system{}
	sys.services, sys.delay = cfg.Network.layout()
	for _, svc := range sys.services {
		for i := range svc.servers {
			e, err := newEndpoint(ctx, server.Config{
				Name: fmt.Sprintf("%s-%02d", svc.name, i), Slots: slotsPerServer, Queue: cfg.Queue, Work: cfg.Work,
				Neighbour: j.scenario.neighbour, Seed: cfg.Seed + uint64(len(sys.endpoints)),
			}, svc, i%zones)
			if err != nil {
				return nil, errors.Join(err, sys.close())
			}
			sys.endpoints = append(sys.endpoints, e)
		}
	}
	fleet := fleetOf(j.candidate)
	for i, vm := range fleet {
		node, err := newNode(ctx, frontConfig{
			timeout: cfg.Timeout,
			name:    vm.Name, zone: vm.Zone, candidate: j.candidate,
			services: sys.services, fleet: fleet, seed: cfg.Seed<<8 + uint64(i),
		}, i%zones)
		if err != nil {
			return nil, errors.Join(err, sys.close())
		}
		sys.nodes = append(sys.nodes, node)
	}
	sys.announce(time.Now())
	return sys, nil
}

// fleetOf returns the gateways of a candidate.
func fleetOf(c candidate) []mustardsaddle.VM {
	n := gateways
	if c.central {
		n = 1
	}
	fleet := make([]mustardsaddle.VM, n)
	for i := range fleet {
		fleet[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%02d", i), Incarnation: 1, Zone: zoneName(i % zones)}
	}
	return fleet
}

// announce tells the gateways the servers.
func (sys *system) announce(now time.Time) {
	for _, n := range sys.nodes {
		for _, svc := range sys.services {
			var servers []mustardsaddle.Server
			for _, e := range sys.endpoints {
				if e.service == svc.name {
					servers = append(servers, e.entry(n.zone))
				}
			}
			n.front.gateway.SetServers(now, svc.name, servers)
		}
	}
}

// first returns the first n servers of the first service.
func (sys *system) first(n int) []*endpoint {
	return sys.endpoints[:n]
}

// slots returns how many slots the servers have.
func (sys *system) slots() int {
	return len(sys.endpoints) * slotsPerServer
}

// load returns the load of a scenario on the system.
func (sys *system) load(cfg CompareConfig, j job) load.Config {
	out := load.Config{
		Rate:     j.scenario.load * float64(sys.slots()) / cfg.Work.Seconds(),
		Phases:   j.scenario.phases(cfg.Duration),
		Warmup:   warmup,
		Duration: cfg.Duration,
		Work:     cfg.Work,
		Delay:    sys.delay,
		Timeout:  cfg.Timeout + time.Second,
		InFlight: maxCalls,
		Seed:     cfg.Seed + uint64(j.repetition),
	}
	for _, n := range sys.nodes {
		out.Targets = append(out.Targets, n.url)
	}
	for _, svc := range sys.services {
		out.Streams = append(out.Streams, load.Stream{Service: svc.name, Path: "/" + svc.name, Share: float64(svc.servers)})
	}
	return out
}

// steps applies the faults at their times, and sends once it has ended.
func (sys *system) steps(ctx context.Context, steps []step, duration time.Duration, ended chan<- struct{}) {
	defer close(ended)
	begin := time.Now()
	for _, s := range steps {
		timer := time.NewTimer(time.Until(begin.Add(time.Duration(s.at * float64(duration)))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			s.do(sys)
		}
	}
}

// close ends the gateways, then the servers.
func (sys *system) close() error {
	var errs []error
	for _, n := range sys.nodes {
		errs = append(errs, n.close())
	}
	for _, e := range sys.endpoints {
		errs = append(errs, e.close())
	}
	return errors.Join(errs...)
}

// runOne makes one run.
func runOne(ctx context.Context, cfg CompareConfig, j job) (Figures, error) {
	sys, err := newSystem(ctx, cfg, j)
	if err != nil {
		return Figures{}, err
	}
	figures, err := sys.run(ctx, cfg, j)
	return figures, errors.Join(err, sys.close())
}

// run brings the load and the faults of a run.
func (sys *system) run(ctx context.Context, cfg CompareConfig, j job) (Figures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go sys.steps(ctx, j.scenario.steps, cfg.Duration, ended)
	begin := time.Now()
	cpu := processorTime()
	result, err := load.Run(ctx, sys.load(cfg, j))
	cpu = processorTime() - cpu
	elapsed := time.Since(begin).Seconds()
	cut := ctx.Err()
	cancel()
	<-ended
	if err := errors.Join(err, cut); err != nil {
		return Figures{}, err
	}
	return sys.figures(cfg, result, cpu, elapsed), nil
}

// figures sums up a run.
func (sys *system) figures(cfg CompareConfig, r load.Result, cpu time.Duration, seconds float64) Figures {
	var cost report.Cost
	for _, n := range sys.nodes {
		c := n.front.budget.Stats().Spent
		cost.Messages += c.Messages
		cost.Bytes += c.Bytes
	}
	var shed int64
	for _, e := range sys.endpoints {
		shed += e.server.Count().Shed
	}
	f := Figures{
		Calls: r.All.Calls, P50: r.All.P50, P99: r.All.P99, P999: r.All.P999, Within99: r.All.Within99, Goodput: r.All.Goodput,
		Failed: r.All.Share(load.Failed), NotRun: r.All.Share(load.NotRun), Unknown: r.All.Share(load.Unknown),
		Broken: r.All.Share(load.Broken) + r.All.Share(load.Dropped), Sheds: float64(shed) / seconds,
		Probes: float64(cost.Messages) / seconds, ProbeBytes: float64(cost.Bytes) / seconds,
	}
	if cfg.Parallel == 1 && r.All.Calls > 0 {
		f.ProcessorMicros = float64(cpu.Microseconds()) / float64(r.All.Calls)
	}
	return f
}
