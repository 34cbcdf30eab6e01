// Package instance runs one gateway: it opens the addresses, joins the parts of
// the request path with those of the control side, and stops gracefully.
//
// The control side only swaps snapshots that the request path reads. While the
// platform is down the last rules and the last list of VMs stay in use.
//
// # Usage
//
//	err := instance.Run(ctx, instance.Config{Settings: s, Logger: logger, Abort: second})
package instance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/claim"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// firstStorePause and maxStorePause bound the pauses after failed calls to the
// platform. They are short against the time in which rules have to take force.
const (
	firstStorePause = 100 * time.Millisecond
	maxStorePause   = 400 * time.Millisecond
)

// Config configures an instance.
type Config struct {
	// Settings are the checked settings.
	Settings settings.Settings
	// Reloads, if set, brings later settings, checked too.
	Reloads <-chan settings.Settings
	// Logger takes the log events.
	Logger zerolog.Logger
	// Abort, if set, ends a graceful stop at once when it is closed.
	Abort <-chan struct{}
	// Directory, if set, makes the directory that the rules and the lists of VMs
	// come from, in place of the platform's store.
	Directory func(*store.Client) mustardsaddle.Directory
	// Started, if set, is told the open addresses before the first call.
	Started func(Addresses)
}

// Addresses are the addresses that an instance has opened.
type Addresses struct {
	// Callers is where callers are served.
	Callers string
	// Admin is where operators are served.
	Admin string
	// Peer is where other gateways link.
	Peer string
}

// instance is one running gateway.
type instance struct {
	cfg        Config
	self       mustardsaddle.VM
	store      *store.Client
	gateway    *gateway.Gateway
	front      *http.Server
	back       *http.Server
	side       *http.Server
	budget     *report.Budget
	prober     *admission.Prober
	membership *membership
	links      *link.Links
	registry   *registry.Registry
	// directory and catalog are nil where the gateways agree on rules in a store.
	directory mustardsaddle.Directory
	catalog   *catalog.Catalog
	// met is true once the gateways of the directory are known.
	met        atomic.Bool
	generation atomic.Int64
	// pages are the pages of the platform's list that the rules in force need.
	pages    atomic.Pointer[[]string]
	metrics  *admin.Metrics
	stopping atomic.Bool
	// current are the settings in force, of which some parts change with a reload.
	current atomic.Pointer[settings.Settings]

	// rng is used only by the goroutine that follows the list of VMs.
	rng *rand.Rand

	// mu guards relay and told.
	mu    sync.Mutex
	relay *news.Relay
	told  *news.Told
}

// Run serves until the context ends, then stops gracefully. It returns an error
// with code.StopCut if calls were cut.
func Run(ctx context.Context, cfg Config) error {
	l, err := listen(ctx, cfg.Settings.Gateway)
	if err != nil {
		return err
	}
	peer := l.peer.Addr().String()
	if cfg.Settings.Gateway.PeerListen != "" {
		peer = cfg.Settings.Gateway.Peer
	}
	return newInstance(time.Now(), cfg, peer).run(ctx, l)
}

// newInstance joins the parts of a gateway that others reach at the peer address.
func newInstance(now time.Time, cfg Config, peer string) *instance {
	s := cfg.Settings
	incarnation := s.Gateway.Incarnation
	if incarnation == 0 {
		incarnation = now.UnixMilli()
	}
	seed := uint64(now.UnixNano())
	in := &instance{
		cfg:     cfg,
		self:    mustardsaddle.VM{Name: s.Gateway.Name, Incarnation: incarnation, Zone: s.Gateway.Zone, Peer: peer},
		metrics: admin.NewMetrics(admin.MetricsConfig{}),
		relay:   news.NewRelay(news.RelayConfig{}),
		told:    news.NewTold(),
		rng:     rand.New(rand.NewPCG(seed, 1)),
	}
	in.current.Store(&s)
	in.store = store.New(store.Config{
		URL:     s.Platform.URL,
		Timeout: s.Platform.Timeout,
		Rates:   store.Rates{Reads: s.Platform.ReadsPerSecond, Writes: s.Platform.WritesPerSecond},
		Backoff: store.Backoff{Base: firstStorePause, Max: maxStorePause},
		Seed:    seed,
	})
	in.budget = report.NewBudget(measuringRates(s))
	in.gateway = in.newGateway(seed)
	in.prober = admission.NewProber(admission.ProberConfig{Lanes: in.gateway.Lanes(), Budget: in.budget})
	in.membership = newMembership(in.rosterChanged)
	in.links = in.newLinks(seed)
	if cfg.Directory != nil {
		in.directory = cfg.Directory(in.store)
		in.catalog = in.newCatalog(in.directory, seed)
	} else {
		in.registry = in.newRegistry(seed)
	}
	in.membership.vm(now, in.self)
	in.pages.Store(&[]string{gatewayPage})
	return in
}

func (in *instance) newGateway(seed uint64) *gateway.Gateway {
	s := in.cfg.Settings
	services := make(map[string]gateway.Service)
	for _, v := range s.Services() {
		services[v.Name] = gateway.Service{NotRunStatus: v.NotRunStatus, NotRunHeader: v.NotRunHeader}
	}
	return gateway.New(gateway.Config{
		Name:      s.Gateway.Name,
		Deadline:  s.Limits.Deadline,
		Progress:  s.Limits.Progress,
		BodyBytes: s.Limits.BodyBytes,
		Headers:   headers(s.Headers),
		Services:  services,
		Admission: admission.Options{
			Zone:            s.Gateway.Zone,
			MaxWaiting:      orNone(s.Limits.QueueLength),
			RetryShare:      orNone(s.Retry.RetryShare),
			RetryWindow:     s.Retry.Window,
			RetrySlack:      s.Retry.Slack,
			HedgeShare:      orNone(s.Retry.HedgeShare),
			HedgeQuantile:   s.Retry.HedgeQuantile,
			Ask:             s.Choice.Ask,
			ProbePath:       s.Measuring.Path,
			ServerPerSecond: s.Measuring.ServerPerSecond,
			Budget:          in.budget,
			NewChooser:      in.newChooser,
			OnReport:        in.reported,
		},
		Claims:  in.claims(),
		Metrics: in.metrics.Scope(),
		Logger:  in.cfg.Logger,
		Seed:    seed,
	})
}

// claims returns the claims in the platform's store. A directory keeps none, so that
// rules with Repeat=Claim are refused.
func (in *instance) claims() mustardsaddle.Claims {
	if in.cfg.Directory != nil {
		return nil
	}
	return claim.New(claim.Config{Store: in.store.For(store.Claims)})
}

// orNone maps the setting 0, which means none, to what the request path takes as
// none; there 0 means the default.
func orNone[N int | float64 | time.Duration](v N) N {
	if v == 0 {
		return -1
	}
	return v
}

// interval returns the time between two events of a rate.
func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// policy returns the policy of a checked name.
func policy(name string) bench.Policy {
	for p := bench.Default; p <= bench.PreferredSpill; p++ {
		if p.String() == name {
			return p
		}
	}
	return bench.Default
}

// reported takes each load report that the gateway sees.
func (in *instance) reported(now time.Time, _, server string, rep mustardsaddle.Report) {
	in.spreadFresh("", in.membership.observe(now, server, rep))
}

// ready returns nil while the gateway takes calls.
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

// rosterChanged passes a new roster on to all that depend on it.
func (in *instance) rosterChanged(now time.Time, old, r roster.Roster) {
	for _, service := range r.Services() {
		if !slices.Equal(old.Servers(service), r.Servers(service)) {
			in.gateway.SetServers(now, service, in.cfg.Settings.Service(service).Complete(r.Servers(service)))
		}
	}
	if slices.Equal(old.VMs(), r.VMs()) {
		return
	}
	in.gateway.SetFleet(now, r.VMs())
	in.store.SetFleet(r.Gateways())
	in.links.SetNeighbors(in.neighbors(r))
}

// neighbors returns the VMs to which links are kept: those that the roster gives,
// or the addresses of the settings while it knows no other gateway. With a directory
// there are no such addresses, and gateways that return are called by others.
func (in *instance) neighbors(r roster.Roster) []mustardsaddle.VM {
	peers := in.cfg.Settings.Peers
	vms := roster.Neighbors(r.Peers(), in.self.Name, roster.NeighborConfig{Across: peers.Across})
	if in.catalog != nil {
		vms = append(vms, roster.Returning(r.Peers(), in.self.Name)...)
	}
	if len(vms) > 0 {
		return vms
	}
	for _, address := range peers.Seeds {
		vms = append(vms, mustardsaddle.VM{Peer: address})
	}
	return vms
}
