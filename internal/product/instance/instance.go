// Package instance runs one gateway process: it opens the listeners, connects the
// components of the request path with those of the control plane, and shuts down
// gracefully.
//
// The control plane only replaces immutable snapshots that the request path reads.
// While the platform is down, the last rules and the last list of VMs stay in use.
//
// # Usage
//
//	err := instance.Run(ctx, instance.Config{Settings: s, Logger: logger})
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/evacuation"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/peer/grant"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/claim"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// firstStorePause and maxStorePause bound the backoff after failed calls to the
// platform. They are short compared with the time limit for putting rules in force.
const (
	firstStorePause = 100 * time.Millisecond
	maxStorePause   = 400 * time.Millisecond
)

// Config configures an instance.
type Config struct {
	// Settings are the validated settings.
	Settings settings.Settings
	// Reloads, if set, delivers new settings, also validated, while the gateway runs.
	Reloads <-chan settings.Settings
	// Logger receives the log events.
	Logger zerolog.Logger
	// Directory, if set, returns the directory that supplies the rules and the lists
	// of VMs in place of the platform's store.
	Directory func(*store.Client) mustardsaddle.Directory
	// DialServer, if set, opens the connections to endpoint servers in place of a
	// net.Dialer.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
	// OnStarted, if set, is called with the listen addresses once the servers and the
	// control plane have started.
	OnStarted func(Addresses)
}

// Addresses are the addresses that an instance listens on.
type Addresses struct {
	// Callers is the address for callers.
	Callers string
	// Admin is the address of the admin pages for operators.
	Admin string
	// Peer is the address on which links from other gateways are accepted.
	Peer string
}

// instance is one running gateway.
type instance struct {
	cfg          Config
	self         mustardsaddle.VM
	store        *store.Client
	gateway      *gateway.Gateway
	buffers      buffer.Budget
	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *http.Server
	peerIdle     *connection.IdleCloser
	// metricsServer is nil if there is no address for the metrics page alone.
	metricsServer *http.Server
	probeBudget   *report.Budget
	prober        *admission.Prober
	membership    *membership
	links         *link.Links
	quotas        *grant.Quotas
	registry      *registry.Registry
	// directory and catalog are nil if the gateways agree on rules through a store;
	// registry is nil if there is a directory.
	directory mustardsaddle.Directory
	catalog   *catalog.Catalog
	// restored signals that the directory was restored from an older copy of its data.
	restored chan struct{}
	// evacuationsChanged signals that the evacuated zones may have changed.
	evacuationsChanged chan struct{}
	// gatewaysKnown is true once the list of gateways has been read from the directory.
	gatewaysKnown atomic.Bool
	generation    atomic.Int64
	// pages are the pages of the platform's VM list that the rules in force need.
	pages atomic.Pointer[[]string]
	// zones are the evacuated zones by the rules in force; unused with a directory.
	zones    atomic.Pointer[evacuation.Zones]
	metrics  *admin.Metrics
	stopping atomic.Bool
	// current are the settings in force; a reload replaces some sections of them.
	current atomic.Pointer[settings.Settings]

	// reachChanged signals that the services that this gateway cannot reach have changed.
	reachChanged chan struct{}

	// rng is used only by the goroutine that polls the list of VMs.
	rng *rand.Rand

	// mu guards the fields below.
	mu               sync.Mutex
	relay            *news.Relay
	fleetGenerations *news.GenerationTracker
	// evacuationPeers holds the peers that state that they know the evacuations.
	evacuationPeers map[string]bool
}

// Run serves until the context ends, then shuts down gracefully. It returns an error
// with code.StopCut if calls in flight were aborted.
func Run(ctx context.Context, cfg Config) error {
	l, err := listen(ctx, cfg.Settings.Gateway, cfg.Logger)
	if err != nil {
		return err
	}
	peer := l.peer.Addr().String()
	if cfg.Settings.Gateway.PeerListen != "" {
		peer = cfg.Settings.Gateway.Peer
	}
	return newInstance(time.Now(), cfg, peer).run(ctx, l)
}

// newInstance assembles a gateway that other gateways reach at the given peer address.
func newInstance(now time.Time, cfg Config, peer string) *instance {
	s := cfg.Settings
	incarnation := s.Gateway.Incarnation
	if incarnation == 0 {
		incarnation = now.UnixMilli()
	}
	seed := uint64(now.UnixNano())
	in := &instance{
		cfg:              cfg,
		self:             mustardsaddle.VM{Name: s.Gateway.Name, Incarnation: incarnation, Zone: s.Gateway.Zone, Peer: peer},
		metrics:          admin.NewMetrics(admin.MetricsConfig{}),
		relay:            news.NewRelay(news.RelayConfig{}),
		fleetGenerations: news.NewGenerationTracker(),
		restored:         make(chan struct{}, 1),

		evacuationsChanged: make(chan struct{}, 1),
		evacuationPeers:    make(map[string]bool),
		reachChanged:       make(chan struct{}, 1),
		rng:                rand.New(rand.NewPCG(seed, 1)),
	}
	in.current.Store(&s)
	zones := evacuation.New(evacuation.Config{})
	in.zones.Store(&zones)
	in.store = store.New(store.Config{
		URL:     s.Platform.URL,
		Timeout: s.Platform.Timeout,
		Rates:   store.Rates{Reads: s.Platform.ReadsPerSecond, Writes: s.Platform.WritesPerSecond},
		Backoff: store.Backoff{Base: firstStorePause, Max: maxStorePause},
		Seed:    seed,
	})
	in.probeBudget = report.NewBudget(probeRates(s))
	in.quotas = in.newQuotas(now, seed)
	in.gateway = in.newGateway(seed)
	in.prober = admission.NewProber(admission.ProberConfig{Controllers: in.gateway.Controllers(), Budget: in.probeBudget})
	in.membership = newMembership(in.rosterChanged)
	in.links = in.newLinks(seed)
	if cfg.Directory != nil {
		in.directory = cfg.Directory(in.store)
		in.catalog = in.newCatalog(now, in.directory, seed)
	} else {
		in.registry = in.newRegistry(seed)
	}
	in.membership.addVM(now, in.self)
	in.pages.Store(&[]string{gatewayPage})
	return in
}

func (in *instance) newGateway(seed uint64) *gateway.Gateway {
	s := in.cfg.Settings
	in.buffers = buffer.New(s.Limits.BufferBytes)
	services := make(map[string]gateway.ServiceConfig)
	for _, v := range s.Services() {
		services[v.Name] = gateway.ServiceConfig{NotRunStatus: v.NotRunStatus, NotRunHeader: v.NotRunHeader}
	}
	return gateway.New(gateway.Config{
		Name:            s.Gateway.Name,
		Deadline:        s.Limits.Deadline,
		ProgressTimeout: s.Limits.Progress,
		MaxBodyBytes:    s.Limits.BodyBytes,
		Buffers:         in.buffers,
		Headers:         headerNames(s.Headers),
		Services:        services,
		Admission: admission.Options{
			Zone:                 s.Gateway.Zone,
			MaxQueued:            noneIfZero(s.Limits.QueueLength),
			LateLast:             s.Limits.LateLast,
			RetryShare:           noneIfZero(s.Retry.RetryShare),
			RetryWindow:          s.Retry.Window,
			RetrySlack:           s.Retry.Slack,
			HedgeShare:           noneIfZero(s.Retry.HedgeShare),
			HedgeQuantile:        s.Retry.HedgeQuantile,
			MaxLoadQueries:       s.Choice.Ask,
			ProbePath:            s.Measuring.Path,
			LoadQueriesPerServer: s.Measuring.ServerPerSecond,
			Budget:               in.probeBudget,
			NewChooser:           in.newChooser,
			OnReport:             in.handleReport,
			OnReach:              in.handleReach,
			OnStatement:          in.handleStatement,
		},
		Claims:      in.claims(),
		Quarantine:  quarantine.Config{Crashes: noneIfZero(s.Quarantine.Crashes), Retest: s.Quarantine.Retest},
		OnSuspicion: in.handleSuspicion,
		RulesAge:    in.rulesAge,
		Quota:       in.quotas,
		Forwarding: gateway.ForwardingConfig{
			Self: in.self, MaxGateways: s.Forwarding.Gateways, MaxCarried: s.Forwarding.Calls,
		},
		DialServer: in.cfg.DialServer,
		Metrics:    in.metrics.Scope(),
		Logger:     in.cfg.Logger,
		Seed:       seed,
	})
}

// claims returns the claims in the platform's store. It returns nil with a directory,
// which stores no claims, so that calls under rules with Repeat=Claim are refused.
func (in *instance) claims() mustardsaddle.ClaimStore {
	if in.cfg.Directory != nil {
		return nil
	}
	return claim.New(claim.Config{Store: in.store.WithUse(store.Claims)})
}

// noneIfZero maps the setting 0, which means none, to -1: in the options of the request
// path -1 means none and 0 means the default.
func noneIfZero[N int | float64 | time.Duration](v N) N {
	if v == 0 {
		return -1
	}
	return v
}

// interval returns the time between two events at the given rate, or an hour if the
// rate is not positive.
func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// notify signals on a channel with room for one signal. A signal that is pending suffices.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// policyByName returns the policy with a name that the settings have validated.
func policyByName(name string) bench.Policy {
	for p := bench.Default; p <= bench.PreferredSpill; p++ {
		if p.String() == name {
			return p
		}
	}
	return bench.Default
}

// handleReport applies each load report that the gateway receives from a server.
func (in *instance) handleReport(now time.Time, _, server string, rep mustardsaddle.Report) {
	in.floodNew("", in.membership.observe(now, server, rep))
}

// ready returns nil while the gateway accepts calls, and otherwise an error with the
// reason.
func (in *instance) ready() error {
	if in.stopping.Load() {
		return code.Errorf(code.CallStopping, "gateway %s is stopping", in.self.Name)
	}
	if in.gateway.Rules() == nil {
		return code.Errorf(code.CallNotReady, "gateway %s has no rules yet", in.self.Name)
	}
	if !in.knowsServers() {
		return code.Errorf(code.CallNotReady, "gateway %s knows no endpoint server yet", in.self.Name)
	}
	return nil
}

// knowsServers reports whether any endpoint server is known.
func (in *instance) knowsServers() bool {
	if in.catalog != nil {
		return !in.catalog.Empty()
	}
	return len(in.membership.Roster().Services()) > 0
}

// rosterChanged passes a new roster to the components that depend on it.
func (in *instance) rosterChanged(now time.Time, old, r roster.Roster) {
	for _, service := range r.Services() {
		if !slices.Equal(old.Servers(service), r.Servers(service)) {
			in.publishServers(now, service, r)
		}
	}
	if slices.Equal(old.VMs(), r.VMs()) {
		return
	}
	in.gateway.SetFleet(now, r.VMs())
	in.store.SetFleet(r.Gateways())
	in.links.SetNeighbors(in.neighbors(r))
	in.quotas.SetGateways(now, r.Peers())
}

// neighbors returns the VMs to which links are kept: those chosen from the roster, or
// the seed addresses of the settings while the roster has no other gateway. With a
// directory there are no seed addresses. Instead, some gateways keep dialing the address
// of each gateway that has left, since a gateway that starts there may know no peers.
func (in *instance) neighbors(r roster.Roster) []mustardsaddle.VM {
	peers := in.cfg.Settings.Peers
	vms := roster.Neighbors(r.Peers(), in.self.Name, roster.NeighborConfig{CrossZoneLinks: peers.Across})
	if in.catalog != nil {
		vms = append(vms, roster.DepartedToDial(r.Peers(), in.self.Name)...)
	}
	if len(vms) > 0 {
		return vms
	}
	for _, address := range peers.Seeds {
		vms = append(vms, mustardsaddle.VM{Peer: address})
	}
	return vms
}
