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
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/standin/directory"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// waitTimeout is the timeout for events without a specified time limit.
const waitTimeout = 20 * time.Second

const initialRules = `Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters
Path=/bookings Method=POST Service=Booking Deadline=5s Repeat=No # Tan: book a lathe
`

// cluster is a stand-in platform with endpoint servers and gateways on loopback
// addresses.
type cluster struct {
	t           *testing.T
	platform    *platform.Platform
	url         string
	servers     []*server.Server
	httpServers []*httptest.Server
	gateways    []*runningGateway
	// configure, if set, modifies the settings of each gateway before it starts.
	configure func(*settings.Settings)
	// unlisted leaves the gateways out of the platform's list, so that they do not
	// know each other and have no links.
	unlisted bool
	// directory, if set, supplies rules and lists of VMs in place of the platform's store.
	directory *directory.Directory
	// machines holds the entries of the servers by name.
	machines map[string]mustardsaddle.Machine
}

// runningGateway is a gateway that runs in a goroutine of the test process.
type runningGateway struct {
	name      string
	addresses instance.Addresses
	stop      context.CancelFunc
	ended     chan error
	// dialer opens the gateway's connections to servers.
	dialer *relay.Dialer
}

func newCluster(t *testing.T, servers int) *cluster {
	t.Helper()
	s := &cluster{t: t, platform: platform.New(platform.Config{}), machines: make(map[string]mustardsaddle.Machine)}
	p := httptest.NewServer(s.platform.Handler())
	t.Cleanup(p.Close)
	s.url = p.URL
	for i := range servers {
		s.addServer(fmt.Sprintf("booking-%02d", i))
	}
	return s
}

func (s *cluster) addServer(name string) *server.Server {
	e := server.New(server.Config{Name: name, Slots: 2, Queue: 2, Work: time.Millisecond})
	s.servers = append(s.servers, e)
	s.startServer(name, e.Handler())
	return e
}

// startServer starts an endpoint server with the given handler and adds it to the
// platform's list.
func (s *cluster) startServer(name string, handler http.Handler) {
	h := httptest.NewServer(handler)
	s.t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	s.httpServers = append(s.httpServers, h)
	m := mustardsaddle.Machine{
		Name: name, Incarnation: 1, Zone: "a", Service: "Booking", Slots: 2, Connections: 200,
		Address: strings.TrimPrefix(h.URL, "http://"),
	}
	s.machines[name] = m
	s.platform.SetMachine(time.Now(), m)
	if s.directory != nil {
		s.directory.PutServer(m)
	}
}

// killServer closes the listener and all connections of an endpoint server.
func (s *cluster) killServer(i int) {
	_ = s.httpServers[i].Listener.Close()
	s.httpServers[i].CloseClientConnections()
}

// executions returns the total number of executions on all endpoint servers.
func (s *cluster) executions() int64 {
	total := int64(0)
	for _, e := range s.servers {
		total += e.Count().Total
	}
	return total
}

// addGateway starts a gateway and, unless unlisted is set, adds it to the platform's
// list.
func (s *cluster) addGateway(name string, seeds ...string) *runningGateway {
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
	if s.configure != nil {
		s.configure(&cfg)
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &runningGateway{name: name, stop: stop, ended: make(chan error, 1), dialer: relay.NewDialer()}
	started := make(chan instance.Addresses, 1)
	instanceCfg := instance.Config{
		Settings: cfg, Logger: zerolog.New(io.Discard), DialServer: g.dialer.DialContext,
		OnStarted: func(a instance.Addresses) { started <- a },
	}
	if s.directory != nil {
		instanceCfg.Directory = func(*store.Client) mustardsaddle.Directory { return s.directory }
	}
	go func() { g.ended <- instance.Run(ctx, instanceCfg) }()
	select {
	case g.addresses = <-started:
	case err := <-g.ended:
		s.t.Fatalf("gateway %s ended: %v", name, err)
	}
	s.t.Cleanup(func() {
		stop()
		if err := g.wait(); err != nil {
			s.t.Errorf("gateway %s ended: %v", name, err)
		}
	})
	if !s.unlisted {
		s.platform.SetMachine(time.Now(), mustardsaddle.Machine{Name: name, Incarnation: 1, Zone: "a", Address: g.addresses.Peer})
	}
	s.gateways = append(s.gateways, g)
	return g
}

// wait waits until a gateway has ended, and returns its error.
func (g *runningGateway) wait() error {
	select {
	case err, open := <-g.ended:
		if open {
			close(g.ended)
		}
		return err
	case <-time.After(waitTimeout):
		return fmt.Errorf("still running after %s", waitTimeout)
	}
}

// startReady submits the initial rules, starts gateways, and waits until they are
// ready.
func (s *cluster) startReady(names ...string) []*runningGateway {
	s.t.Helper()
	s.submit(initialRules)
	for _, name := range names {
		g := s.addGateway(name)
		eventually(s.t, waitTimeout, "ready: "+name, func() bool { return g.ready(s.t) })
	}
	return s.gateways
}

// expectInForce checks that a rule is in force on every gateway within
// propagationLimit.
func (s *cluster) expectInForce(line string) {
	s.t.Helper()
	took := eventually(s.t, 2*propagationLimit, "in force: "+line, func() bool {
		for _, g := range s.gateways {
			if !g.inForce(s.t, line) {
				return false
			}
		}
		return true
	})
	if took > propagationLimit {
		s.t.Errorf("rule %q took %s to be in force, want at most %s", line, took, propagationLimit)
	}
}

// submit writes Rules/Submitted as an operator does.
func (s *cluster) submit(text string) {
	s.platform.Put("Rules/Submitted", []byte(text), -1)
}

// newClient returns an HTTP client with a timeout.
func newClient() *http.Client { return &http.Client{Timeout: waitTimeout} }

// get sends a GET request and returns the status and body of the response, or 0 and the
// error text.
func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := newClient().Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// getConcurrently sends n concurrent GET requests and waits for the responses.
func getConcurrently(t *testing.T, url string, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { get(t, url) })
	}
	wg.Wait()
}

// ready reports whether a gateway is ready for calls.
func (g *runningGateway) ready(t *testing.T) bool {
	status, _ := get(t, "http://"+g.addresses.Admin+"/readyz")
	return status == http.StatusOK
}

// inForce reports whether the gateway has a rule in force.
func (g *runningGateway) inForce(t *testing.T, line string) bool {
	_, text := get(t, "http://"+g.addresses.Admin+"/rules")
	return strings.Contains(text, line)
}

// eventually polls until a condition holds, and returns how long that took. It fails
// the test if the time limit passes first.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("condition %q does not hold after %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}
