// Package admission implements admission control and server selection. It queries
// servers for their load, chooses a server for each attempt, queues calls while no
// server has capacity, and refuses calls that could not be served in time. Each
// service has its own Lane.
//
// The choosers under internal/choice and the packages slot and booking make the
// decisions without performing I/O. A Lane guards them with one mutex and performs
// the I/O.
//
// # Usage
//
//	lanes := admission.NewLanes(admission.Config{Zone: "zone-a", Rules: rules})
//	lanes.SetFleet(now, gateways)
//	lanes.SetServers(now, "Booking", servers)
//	l := lanes.Lane("Booking")
//	unqueried := l.Ask(ctx, nil)
//	p, refused := l.Place(ctx, now, request, unqueried)
//	if refused != nil {
//		... // refuse the call
//	}
//	... // send the request to p.Choice.Server
//	l.Finish(now, mustardsaddle.Result{Server: p.Choice.Server.Name}, true)
package admission

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// Config configures Lanes.
type Config struct {
	Options
	// Name is this gateway's name.
	Name string
	// MinRetryAfter is the shortest Retry-After delay sent to a refused caller.
	MinRetryAfter time.Duration
	// Transport sends load queries. Calls share its connections, so a response to a
	// load query shows that a pooled connection works.
	Transport *http.Transport
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

// Lanes holds the Lane of each service. It is safe for concurrent use.
type Lanes struct {
	cfg Config
	// gateways is the fleet size, or 0 if unknown.
	gateways atomic.Int64
	// retry holds the retry bounds of the whole fleet.
	retry atomic.Pointer[booking.Bounds]

	mu    sync.RWMutex
	lanes map[string]*Lane
	// fleet lists the gateway VMs that are not leaving.
	fleet []mustardsaddle.VM
}

// NewLanes returns Lanes without services.
func NewLanes(cfg Config) *Lanes {
	cfg.Options = cfg.withDefaults()
	s := &Lanes{cfg: cfg, lanes: make(map[string]*Lane)}
	s.retry.Store(&booking.Bounds{Share: max(cfg.RetryShare, 0), Slack: cfg.RetrySlack})
	return s
}

// Lane returns the Lane of a service, or nil before the first SetServers for it.
func (s *Lanes) Lane(service string) *Lane {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lanes[service]
}

// all returns the Lane of every service.
func (s *Lanes) all() []*Lane {
	s.mu.RLock()
	defer s.mu.RUnlock()
	lanes := make([]*Lane, 0, len(s.lanes))
	for _, l := range s.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// SetServers replaces the server list of a service.
func (s *Lanes) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	s.mu.Lock()
	l := s.lanes[service]
	added := l == nil
	if added {
		l = newLane(s, service)
		s.lanes[service] = l
	}
	fleet := s.fleet
	s.mu.Unlock()
	if added {
		l.setFleet(now, fleet)
	}
	l.setServers(now, servers)
}

// SetFleet sets the gateway VMs of the fleet, including this one. Every gateway counts
// towards the sharing of server connections, because a leaving gateway keeps its
// connections until its last call has finished. Choosers that divide the servers among
// gateways get only those that are not leaving.
func (s *Lanes) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	s.gateways.Store(int64(len(gateways)))
	live := slices.DeleteFunc(slices.Clone(gateways), func(v mustardsaddle.VM) bool { return v.Leaving })
	s.mu.Lock()
	same := slices.EqualFunc(s.fleet, live, func(a, b mustardsaddle.VM) bool { return a.Name == b.Name })
	s.fleet = live
	s.mu.Unlock()
	for _, l := range s.all() {
		l.updateLimits(now)
		if !same {
			l.setFleet(now, live)
		}
	}
}

// SetRetry changes the bounds of retries and hedges in a window: the share earned by
// each call and the slack of the whole fleet.
func (s *Lanes) SetRetry(now time.Time, bounds booking.Bounds) {
	s.retry.Store(&bounds)
	for _, l := range s.all() {
		l.updateLimits(now)
	}
}

// setFleet passes the live gateways to a chooser that divides the servers among them.
func (l *Lane) setFleet(now time.Time, live []mustardsaddle.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.chooser.(mustardsaddle.FleetSetter); ok && len(live) > 0 {
		c.SetFleet(now, l.lanes.cfg.Name, live)
	}
}

// updateLimits recomputes the limits that depend on the retry bounds or the fleet
// size.
func (l *Lane) updateLimits(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateRetryBounds()
	l.updateQueryRate(now)
}
