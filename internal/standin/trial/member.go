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
	smallWork     = 20 * time.Millisecond
	// smallLag is how late the platform's list of VMs is.
	smallLag = 500 * time.Millisecond
	// smallStart bounds the start of the gateways, and smallStop their end.
	smallStart = 15 * time.Second
	smallStop  = 30 * time.Second
	// smallPoll is how often something that is waited for is looked at, and how
	// often the balancer asks whether a gateway is ready.
	smallPoll = 20 * time.Millisecond

	smallService = "Booking"
	submitted    = "Rules/Submitted"
	pathOld      = "/rosters"
	pathNew      = "/calendars"
	ruleOld      = "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters\n"
	ruleNew      = "Path=/calendars Service=Booking Deadline=2s # Tan: members browse calendars\n"
)

// small is a running small system.
type small struct {
	cfg       SmallConfig
	platform  *platform.Platform
	web       *http.Server
	webEnded  chan error
	endpoints []*endpoint
	gateways  []*member
}

// newSmall starts everything, and puts the first rule in force.
func newSmall(ctx context.Context, cfg SmallConfig) (*small, error) {
	s := &small{cfg: cfg, platform: platform.New(platform.Config{Lag: smallLag}), webEnded: make(chan error, 1)}
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	s.web = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { s.webEnded <- s.web.Serve(l) }()
	if err := s.start(ctx, "http://"+l.Addr().String()); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *small) start(ctx context.Context, platformURL string) error {
	for i := range smallServers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	s.platform.Put(submitted, []byte("# Generation 0\n"+ruleOld), -1)
	for i := range smallGateways {
		if err := s.addGateway(ctx, i, platformURL); err != nil {
			return err
		}
	}
	s.tell("Platform, %d servers and %d gateways have started.", smallServers, smallGateways)
	ctx, cancel := context.WithTimeout(ctx, smallStart)
	defer cancel()
	for _, m := range s.gateways {
		if err := m.await(ctx, pathOld); err != nil {
			return err
		}
	}
	s.tell("Every gateway answers.")
	return nil
}

// addServer starts a server and puts it on the platform's list.
func (s *small) addServer(ctx context.Context, i int) error {
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

// addGateway starts a gateway and puts it on the platform's list.
func (s *small) addGateway(ctx context.Context, i int, platformURL string) error {
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
	s.gateways = append(s.gateways, newMember(ctx, set, s.cfg.Logger))
	return nil
}

// freeAddresses returns three addresses that were free a moment ago.
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

// balance plays the platform's balancer: it asks the gateways whether they are
// ready, until the context ends.
func (s *small) balance(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	for sleep(ctx, smallPoll) == nil {
		for _, m := range s.gateways {
			m.live.Store(get(ctx, m.admin("/readyz")) == http.StatusOK)
		}
	}
}

// live reports whether the balancer sends calls to a gateway.
func (s *small) live(target string) bool {
	for _, m := range s.gateways {
		if m.url("") == target {
			return m.live.Load()
		}
	}
	return false
}

// member is one gateway of a small system.
type member struct {
	settings settings.Settings
	cancel   context.CancelFunc
	ended    chan error
	stopped  bool
	live     atomic.Bool
}

func newMember(ctx context.Context, set settings.Settings, logger zerolog.Logger) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{settings: set, cancel: cancel, ended: make(chan error, 1)}
	m.live.Store(true)
	go func() {
		m.ended <- instance.Run(ctx, instance.Config{
			Settings: set, Logger: logger.With().Str("Gateway", set.Gateway.Name).Logger(),
		})
	}()
	return m
}

// url returns the address of a path for callers.
func (m *member) url(path string) string {
	return "http://" + m.settings.Gateway.Listen + path
}

// admin returns the address of a path for operators.
func (m *member) admin(path string) string {
	return "http://" + m.settings.Gateway.Admin + path
}

// await waits until the gateway answers calls to a path.
func (m *member) await(ctx context.Context, path string) error {
	status := 0
	for {
		if status = get(ctx, m.url(path)); status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, smallPoll); err != nil {
			return code.Wrapf(code.CallNotReady, err, "wait for %s at %s: got status %d, want 200", path, m.settings.Gateway.Name, status)
		}
	}
}

// stop stops the gateway gracefully and returns its error. Only the first stop
// returns one.
func (m *member) stop() error {
	m.cancel()
	if m.stopped {
		return nil
	}
	m.stopped = true
	return <-m.ended
}

// get returns the status of a page, or 0 without an answer.
func get(ctx context.Context, url string) int {
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
