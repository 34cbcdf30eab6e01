package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	smallGateways = 3
	smallServers  = 6
	// smallWork is the mean service time of a call.
	smallWork = 20 * time.Millisecond
	// smallLag is the delay until a change shows in the platform's list of VMs.
	smallLag = 500 * time.Millisecond
	// startTimeout limits the time for all gateways to start, and stopTimeout that for
	// them to stop.
	startTimeout = 15 * time.Second
	stopTimeout  = 30 * time.Second
	// pollInterval is the interval of readiness checks, and of other polling.
	pollInterval = 20 * time.Millisecond

	smallService = "Booking"
	submittedKey = "Rules/Submitted"
	initialPath  = "/rosters"
	addedPath    = "/calendars"
	initialRule  = "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters\n"
	addedRule    = "Path=/calendars Service=Booking Deadline=2s # Tan: members browse calendars\n"
)

// smallSystem is a running small system.
type smallSystem struct {
	cfg            SmallSystemConfig
	platform       *platform.Platform
	platformServer *http.Server
	platformErr    chan error
	endpoints      []*endpoint
	gateways       []*gatewayInstance
}

// newSmallSystem starts all components, and waits until every gateway applies the first
// routing rule.
func newSmallSystem(ctx context.Context, cfg SmallSystemConfig) (*smallSystem, error) {
	s := &smallSystem{cfg: cfg, platform: platform.New(platform.Config{Lag: smallLag}), platformErr: make(chan error, 1)}
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	s.platformServer = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { s.platformErr <- s.platformServer.Serve(l) }()
	if err := s.start(ctx, "http://"+l.Addr().String()); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// start starts the endpoint servers and gateways, and waits until every gateway responds
// to calls.
func (s *smallSystem) start(ctx context.Context, platformURL string) error {
	for i := range smallServers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.platform.Put(submittedKey, []byte("# Generation 0\n"+initialRule), -1)
	for i := range smallGateways {
		if err := s.addGateway(ctx, i, platformURL); err != nil {
			return err
		}
	}
	s.logStep("Started the platform, %d servers and %d gateways.", smallServers, smallGateways)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, g := range s.gateways {
		if err := g.waitForPath(ctx, initialPath); err != nil {
			return err
		}
	}
	s.logStep("Every gateway responds to calls.")
	return nil
}

// addServer starts an endpoint server and adds it to the platform's list of VMs.
func (s *smallSystem) addServer(ctx context.Context, i int) error {
	svc := service{name: smallService, connections: 200}
	cfg := server.Config{Name: fmt.Sprintf("booking-%02d", i), Slots: slotsPerServer, Queue: 2, Work: smallWork}
	e, err := newEndpoint(ctx, cfg, svc, i%zones)
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, e)
	s.platform.SetMachine(time.Now(), mustardsaddle.Machine{
		Name: e.name, Incarnation: 1, Zone: zoneName(e.zone), Service: svc.name,
		Address: e.listeners[e.zone].Addr().String(), Slots: slotsPerServer, Connections: svc.connections,
	})
	return nil
}

// addGateway starts a gateway and adds it to the platform's list of VMs.
func (s *smallSystem) addGateway(ctx context.Context, i int, platformURL string) error {
	addresses, err := freeAddresses(ctx)
	if err != nil {
		return err
	}
	set := settings.Default()
	cfg := set.Platform
	cfg.URL = platformURL
	set = set.WithPlatform(cfg).WithGateway(settings.Gateway{
		Name: fmt.Sprintf("gateway-%d", i+1), Zone: zoneName(i % zones), Incarnation: 1,
		Listen: addresses[0], Admin: addresses[1], Peer: addresses[2],
	}).WithService(settings.Service{
		Name: smallService, NotRunStatus: http.StatusServiceUnavailable, NotRunHeader: server.NotRunHeader,
		Slots: slotsPerServer, Connections: 200,
	})
	s.platform.SetMachine(time.Now(), mustardsaddle.Machine{
		Name: set.Gateway.Name, Incarnation: 1, Zone: set.Gateway.Zone, Address: set.Gateway.Peer,
	})
	s.gateways = append(s.gateways, newGatewayInstance(ctx, set, s.cfg.Logger))
	return nil
}

// freeAddresses returns three loopback addresses with different free ports. Its listeners
// are closed when it returns, so another process may take a port before it is used.
func freeAddresses(ctx context.Context) ([3]string, error) {
	var addresses [3]string
	for i := range addresses {
		l, err := listen(ctx)
		if err != nil {
			return addresses, err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// pollReadiness acts as the platform's balancer: it polls the readiness of the gateways
// until the context ends, and then closes done.
func (s *smallSystem) pollReadiness(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for sleep(ctx, pollInterval) == nil {
		for _, g := range s.gateways {
			g.ready.Store(getStatus(ctx, g.adminURL("/readyz")) == http.StatusOK)
		}
	}
}

// isReady reports whether the gateway at a base URL was ready when last polled.
func (s *smallSystem) isReady(target string) bool {
	for _, g := range s.gateways {
		if g.callURL("") == target {
			return g.ready.Load()
		}
	}
	return false
}

// gatewayInstance is a complete gateway instance that runs in a goroutine.
type gatewayInstance struct {
	settings settings.Settings
	cancel   context.CancelFunc
	runErr   chan error
	stopped  bool
	ready    atomic.Bool
}

// newGatewayInstance starts a gateway.
func newGatewayInstance(ctx context.Context, set settings.Settings, logger zerolog.Logger) *gatewayInstance {
	ctx, cancel := context.WithCancel(ctx)
	g := &gatewayInstance{settings: set, cancel: cancel, runErr: make(chan error, 1)}
	g.ready.Store(true)
	go func() {
		g.runErr <- instance.Run(ctx, instance.Config{
			Settings: set, Logger: logger.With().Str("Gateway", set.Gateway.Name).Logger(),
		})
	}()
	return g
}

// callURL returns the URL of a path at the address for callers.
func (g *gatewayInstance) callURL(path string) string {
	return "http://" + g.settings.Gateway.Listen + path
}

// adminURL returns the URL of a path at the address for operators.
func (g *gatewayInstance) adminURL(path string) string {
	return "http://" + g.settings.Gateway.Admin + path
}

// waitForPath waits until calls to a path succeed.
func (g *gatewayInstance) waitForPath(ctx context.Context, path string) error {
	status := 0
	for {
		if status = getStatus(ctx, g.callURL(path)); status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return code.Wrapf(code.CallNotReady, err, "wait for path %s at %s: got status %d, want 200", path, g.settings.Gateway.Name, status)
		}
	}
}

// stop stops the gateway gracefully and returns its error. Calls after the first one have
// no effect and return nil.
func (g *gatewayInstance) stop() error {
	g.cancel()
	if g.stopped {
		return nil
	}
	g.stopped = true
	return <-g.runErr
}

// getStatus returns the status code of a GET request, or 0 if the request fails.
func getStatus(ctx context.Context, url string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
