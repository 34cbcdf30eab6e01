package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// patience bounds waits for what has no promised time.
const patience = 20 * time.Second

const firstRules = `Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters
Path=/bookings Method=POST Service=Booking Deadline=5s Repeat=No # Tan: book a lathe
`

// system is a platform with endpoint servers and gateways on loopback.
type system struct {
	t        *testing.T
	platform *platform.Platform
	url      string
	servers  []*server.Server
	hosts    []*httptest.Server
	gateways []*gatewayVM
	// change, if set, changes the settings of each gateway.
	change func(*settings.Settings)
	// unlisted leaves the gateways out of the platform's list, so that they do not
	// know each other and no link joins them.
	unlisted bool
}

// gatewayVM is a running gateway.
type gatewayVM struct {
	name      string
	addresses instance.Addresses
	stop      context.CancelFunc
	ended     chan error
}

func newSystem(t *testing.T, servers int) *system {
	t.Helper()
	s := &system{t: t, platform: platform.New(platform.Config{})}
	p := httptest.NewServer(s.platform.Handler())
	t.Cleanup(p.Close)
	s.url = p.URL
	for i := range servers {
		s.addServer(fmt.Sprintf("booking-%02d", i))
	}
	return s
}

func (s *system) addServer(name string) *server.Server {
	e := server.New(server.Config{Name: name, Slots: 2, Queue: 2, Work: time.Millisecond})
	s.servers = append(s.servers, e)
	s.addHost(name, e.Handler())
	return e
}

// addHost serves a handler as an endpoint server, and lists it.
func (s *system) addHost(name string, handler http.Handler) {
	h := httptest.NewServer(handler)
	s.t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	s.hosts = append(s.hosts, h)
	s.platform.SetMachine(time.Now(), mustardsaddle.Machine{
		Name: name, Incarnation: 1, Zone: "a", Service: "Booking", Slots: 2, Connections: 200,
		Address: strings.TrimPrefix(h.URL, "http://"),
	})
}

// kill ends an endpoint server with all its connections.
func (s *system) kill(i int) {
	_ = s.hosts[i].Listener.Close()
	s.hosts[i].CloseClientConnections()
}

// ran returns how many executions all endpoint servers have counted.
func (s *system) ran() int64 {
	total := int64(0)
	for _, e := range s.servers {
		total += e.Count().Total
	}
	return total
}

// addGateway starts a gateway and lists it.
func (s *system) addGateway(name string, seeds ...string) *gatewayVM {
	s.t.Helper()
	cfg := settings.Default()
	cfg.Gateway = settings.Gateway{Name: name, Zone: "a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	cfg.Platform.URL = s.url
	cfg.Platform.Timeout = 500 * time.Millisecond
	cfg.Platform.Poll = 200 * time.Millisecond
	cfg.Peers.Heartbeat, cfg.Peers.Silent = 100*time.Millisecond, 500*time.Millisecond
	cfg.Peers.Seeds = seeds
	cfg.Stop.Lag = 100 * time.Millisecond
	cfg = cfg.WithService(settings.Service{
		Name: "Booking", NotRunStatus: http.StatusServiceUnavailable, NotRunHeader: server.NotRunHeader,
	})
	if s.change != nil {
		s.change(&cfg)
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &gatewayVM{name: name, stop: stop, ended: make(chan error, 1)}
	started := make(chan instance.Addresses, 1)
	go func() {
		g.ended <- instance.Run(ctx, instance.Config{
			Settings: cfg, Logger: zerolog.New(io.Discard), Started: func(a instance.Addresses) { started <- a },
		})
	}()
	select {
	case g.addresses = <-started:
	case err := <-g.ended:
		s.t.Fatalf("gateway %s ended: %v", name, err)
	}
	s.t.Cleanup(func() {
		stop()
		if err := g.end(); err != nil {
			s.t.Errorf("gateway %s ended: %v", name, err)
		}
	})
	if !s.unlisted {
		s.platform.SetMachine(time.Now(), mustardsaddle.Machine{Name: name, Incarnation: 1, Zone: "a", Address: g.addresses.Peer})
	}
	s.gateways = append(s.gateways, g)
	return g
}

// end waits for the end of a gateway, and returns its error.
func (g *gatewayVM) end() error {
	select {
	case err, open := <-g.ended:
		if open {
			close(g.ended)
		}
		return err
	case <-time.After(patience):
		return fmt.Errorf("still running after %s", patience)
	}
}

// startReady submits the first rules, starts gateways, and waits until they take calls.
func (s *system) startReady(names ...string) []*gatewayVM {
	s.t.Helper()
	s.submit(firstRules)
	for _, name := range names {
		g := s.addGateway(name)
		eventually(s.t, patience, "ready "+name, func() bool { return g.ready(s.t) })
	}
	return s.gateways
}

// everywhere checks that a rule is in force on every gateway in the promised time.
func (s *system) everywhere(line string) {
	s.t.Helper()
	took := eventually(s.t, 2*inForceLimit, "in force: "+line, func() bool {
		for _, g := range s.gateways {
			if !g.inForce(s.t, line) {
				return false
			}
		}
		return true
	})
	if took > inForceLimit {
		s.t.Errorf("%s: in force after %s, want at most %s", line, took, inForceLimit)
	}
}

// submit writes Rules/Submitted as an operator does.
func (s *system) submit(text string) {
	s.platform.Put("Rules/Submitted", []byte(text), -1)
}

// caller is a client that does not wait for ever.
func caller() *http.Client { return &http.Client{Timeout: patience} }

// get returns the status and body of a call.
func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := caller().Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// burst makes n calls at a time and waits for their answers.
func burst(t *testing.T, url string, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { get(t, url) })
	}
	wg.Wait()
}

// ready reports whether a gateway takes calls.
func (g *gatewayVM) ready(t *testing.T) bool {
	status, _ := get(t, "http://"+g.addresses.Admin+"/readyz")
	return status == http.StatusOK
}

// inForce reports whether the gateway has a rule in force.
func (g *gatewayVM) inForce(t *testing.T, line string) bool {
	_, text := get(t, "http://"+g.addresses.Admin+"/rules")
	return strings.Contains(text, line)
}

// eventually waits until a condition holds, and returns how long it took.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > limit {
			t.Fatalf("%s: not after %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}
