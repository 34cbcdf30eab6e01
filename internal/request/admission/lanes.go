// Package admission decides when an attempt of a call may go, and to which server:
// it asks servers for their load, chooses one, lets calls wait for one in order, and
// refuses those that would wait in vain. Each service has a Lane of its own.
//
// The decisions are those of pure cores: choosers of area choice, package slot and
// package booking. A Lane holds them under one mutex, and does the I/O around them.
//
// # Usage
//
//	lanes := admission.NewLanes(admission.Config{Zone: "zone-a", Rules: rules})
//	lanes.SetFleet(now, gateways)
//	lanes.SetServers(now, "Booking", servers)
//	l := lanes.Lane("Booking")
//	blind := l.Ask(ctx, nil)
//	p, no := l.Place(ctx, now, request, blind)
//	if no != nil {
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
	// MinRetryAfter is the shortest wait that a refused caller can be told.
	MinRetryAfter time.Duration
	// Transport carries questions. Calls use the same connections, of which an
	// answered question is a sign of life.
	Transport *http.Transport
	// Headers names what servers say in headers.
	Headers *mustardsaddle.Headers
	// Rules returns the table in force, or nil.
	Rules func() *rule.Table
	// Metrics takes counters and histograms.
	Metrics tally.Scope
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the random choices.
	Seed uint64
}

// Lanes are the lanes of all services. They are safe for concurrent use.
type Lanes struct {
	cfg Config
	// gateways is the size of the fleet; 0 while it is not known.
	gateways atomic.Int64
	// retry bounds the retries of the whole fleet.
	retry atomic.Pointer[booking.Bounds]

	mu    sync.RWMutex
	lanes map[string]*Lane
	// fleet are the live gateway VMs.
	fleet []mustardsaddle.VM
}

// NewLanes returns Lanes without services.
func NewLanes(cfg Config) *Lanes {
	cfg.Options = cfg.withDefaults()
	s := &Lanes{cfg: cfg, lanes: make(map[string]*Lane)}
	s.retry.Store(&booking.Bounds{Share: max(cfg.RetryShare, 0), Slack: cfg.RetrySlack})
	return s
}

// Lane returns the lane of a service, or nil if no server of it was ever known.
func (s *Lanes) Lane(service string) *Lane {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lanes[service]
}

// all returns the lanes of all services.
func (s *Lanes) all() []*Lane {
	s.mu.RLock()
	defer s.mu.RUnlock()
	lanes := make([]*Lane, 0, len(s.lanes))
	for _, l := range s.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// SetServers replaces the known servers of a service.
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

// SetFleet tells which gateway VMs there are, this one included. All of them share
// the connections of each server, since a leaving gateway keeps its connections
// until its last call has finished; choosers divide the servers among those that
// stay.
func (s *Lanes) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	s.gateways.Store(int64(len(gateways)))
	live := slices.DeleteFunc(slices.Clone(gateways), func(v mustardsaddle.VM) bool { return v.Leaving })
	s.mu.Lock()
	same := slices.EqualFunc(s.fleet, live, func(a, b mustardsaddle.VM) bool { return a.Name == b.Name })
	s.fleet = live
	s.mu.Unlock()
	for _, l := range s.all() {
		l.updateBounds(now)
		if !same {
			l.setFleet(now, live)
		}
	}
}

// SetRetry changes the bounds of retries and hedges in a window: the share that a
// call earns, and the slack of the whole fleet.
func (s *Lanes) SetRetry(now time.Time, bounds booking.Bounds) {
	s.retry.Store(&bounds)
	for _, l := range s.all() {
		l.updateBounds(now)
	}
}

// setFleet passes the live gateways on to a chooser that divides servers.
func (l *Lane) setFleet(now time.Time, live []mustardsaddle.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.chooser.(mustardsaddle.FleetSetter); ok && len(live) > 0 {
		c.SetFleet(now, l.lanes.cfg.Name, live)
	}
}

// updateBounds takes bounds, or a size of the fleet, that have changed.
func (l *Lane) updateBounds(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setBounds()
	l.setQuestions(now)
}
