// Package admission implements admission control and server selection. It queries
// servers for their load, chooses a server for each attempt, queues calls while no
// server has capacity, and refuses calls that could not be served in time. Each
// service has its own Controller.
//
// The choosers under internal/choice and the packages slot and booking make the
// decisions without performing I/O. A Controller guards them with one mutex and
// performs the I/O.
//
// # Usage
//
//	controllers := admission.NewControllers(admission.Config{Zone: "zone-a", Rules: rules})
//	controllers.SetFleet(now, gateways)
//	controllers.SetServers(now, "Booking", servers)
//	c := controllers.Get("Booking")
//	unqueried := c.QueryLoad(ctx, nil)
//	a, refused := c.Admit(ctx, now, request, unqueried)
//	if refused != nil {
//		... // refuse the call
//	}
//	... // send the request to a.Choice.Server
//	c.Finish(now, mustardsaddle.Result{Server: a.Choice.Server.Name}, true)
package admission

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// Config configures Controllers.
type Config struct {
	Options
	// Name is this gateway's name.
	Name string
	// MinRetryAfter is the shortest Retry-After delay sent to a refused caller.
	MinRetryAfter time.Duration
	// Transport sends load queries. Calls share its connections, so a response to a
	// load query shows that a pooled connection works.
	Transport *http.Transport
	// Dial opens a connection to a server; nil means a net.Dialer.
	Dial DialFunc
	// Headers names the response headers in which servers report their load and name.
	Headers *mustardsaddle.Headers
	// Rules returns the rules table in force, or nil.
	Rules func() *rule.Table
	// Metrics is the scope of counters and histograms.
	Metrics tally.Scope
	// Logger receives log events.
	Logger zerolog.Logger
	// Seed seeds the random number generators.
	Seed uint64
}

// Controllers holds the Controller of each service. It is safe for concurrent use.
type Controllers struct {
	cfg Config
	// gateways is the fleet size, or 0 if unknown.
	gateways atomic.Int64
	// retry holds the retry bounds of the whole fleet.
	retry      atomic.Pointer[booking.Bounds]
	statements *statements
	endChecks  *endChecks

	membersMu sync.Mutex
	// members are the gateways among which the retry slack is divided.
	members *share.Members

	// reachMu orders the calls of OnReach.
	reachMu sync.Mutex

	mu          sync.RWMutex
	controllers map[string]*Controller
	// fleet lists the gateway VMs that are not leaving.
	fleet []mustardsaddle.VM
}

// NewControllers returns Controllers without services.
func NewControllers(cfg Config) *Controllers {
	cfg.Options = cfg.withDefaults()
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	cs := &Controllers{cfg: cfg, statements: newStatements(cfg), endChecks: newEndChecks(), members: share.NewMembers(), controllers: make(map[string]*Controller)}
	cs.retry.Store(&booking.Bounds{Share: max(cfg.RetryShare, 0), Slack: cfg.RetrySlack})
	return cs
}

// Get returns the Controller of a service, or nil before the first SetServers for it.
func (cs *Controllers) Get(service string) *Controller {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	return cs.controllers[service]
}

// all returns the Controller of every service.
func (cs *Controllers) all() []*Controller {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	controllers := make([]*Controller, 0, len(cs.controllers))
	for _, c := range cs.controllers {
		controllers = append(controllers, c)
	}
	return controllers
}

// SetServers replaces the server list of a service.
func (cs *Controllers) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	cs.mu.Lock()
	c := cs.controllers[service]
	added := c == nil
	if added {
		c = newController(cs, service)
		cs.controllers[service] = c
	}
	fleet := cs.fleet
	cs.mu.Unlock()
	if added {
		c.setFleet(now, fleet)
	}
	cs.statements.setServers(now, service, servers)
	c.setServers(now, servers)
}

// SetFleet sets the gateway VMs of the fleet, including this one. Every gateway counts
// towards the sharing of server connections, because a leaving gateway keeps its
// connections until its last call has finished. Choosers that divide the servers among
// gateways get only those that are not leaving.
func (cs *Controllers) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	cs.gateways.Store(int64(len(gateways)))
	cs.setMembers(func(m *share.Members) { m.SetGateways(now, gateways) })
	live := slices.DeleteFunc(slices.Clone(gateways), func(v mustardsaddle.VM) bool { return v.Leaving })
	cs.mu.Lock()
	same := slices.EqualFunc(cs.fleet, live, func(a, b mustardsaddle.VM) bool { return a.Name == b.Name })
	cs.fleet = live
	cs.mu.Unlock()
	cs.statements.setFleet(now, cs.cfg.Name, live)
	for _, c := range cs.all() {
		c.updateLimits(now)
		if !same {
			c.setFleet(now, live)
		}
	}
}

// SetListed records that this gateway is on a list of all gateways, which has the given
// names. It takes no part of the retry slack before the first such list.
func (cs *Controllers) SetListed(now time.Time, names []string) {
	cs.setMembers(func(m *share.Members) { m.Confirm(now, names) })
	for _, c := range cs.all() {
		c.updateLimits(now)
	}
}

func (cs *Controllers) setMembers(change func(*share.Members)) {
	cs.membersMu.Lock()
	defer cs.membersMu.Unlock()
	change(cs.members)
}

// countMembers returns the number of gateways among which the retry slack is divided, or 0
// if this gateway may take no part of it.
func (cs *Controllers) countMembers(now time.Time) int {
	cs.membersMu.Lock()
	defer cs.membersMu.Unlock()
	return cs.members.Count(now)
}

// SetRetryBudget changes the bounds of retries and hedges in a window: the share earned by
// each call and the slack of the whole fleet.
func (cs *Controllers) SetRetryBudget(now time.Time, bounds booking.Bounds) {
	cs.retry.Store(&bounds)
	for _, c := range cs.all() {
		c.updateLimits(now)
	}
}

// setFleet passes the live gateways to a chooser that divides the servers among them.
func (c *Controller) setFleet(now time.Time, live []mustardsaddle.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if setter, ok := c.chooser.(mustardsaddle.FleetSetter); ok && len(live) > 0 {
		setter.SetFleet(now, c.controllers.cfg.Name, live)
		c.updatePaths(c.listed)
	}
}

// updateLimits recomputes the limits that depend on the retry bounds or the fleet
// size.
func (c *Controller) updateLimits(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateRetryBounds(now)
	c.updateQueryRate(now)
}
