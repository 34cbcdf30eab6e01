package admission

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
	"mustardsaddle.example/mustardsaddle/internal/choice/warmup"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// coldServers holds the servers that are warming up, and this gateway's shares of the
// requests that they take meanwhile. The mutex of statements guards it, except any.
type coldServers struct {
	rules  func() *rule.Table
	logger zerolog.Logger
	// tracked is the number of servers that may be cold, and count that of the servers that
	// are limited now.
	tracked, count *atomic.Int64
	table          *warmup.Table
	shares         *quota.Quotas
	services       map[string]coldService
}

// coldService holds the cold servers of a service.
type coldService struct {
	limit   warmUpLimit
	servers []coldServer
}

// coldServer is a cold server, limited since a time.
type coldServer struct {
	warmup.Server
	since time.Time
}

// warmUpLimit is what the rules state about the servers of a service that warm up.
type warmUpLimit struct {
	// perSecond is the limit of requests; 0 if there is none.
	perSecond float64
	// usual is the usual duration of the warm-up.
	usual time.Duration
}

func newColdServers(cfg Config) coldServers {
	return coldServers{
		rules: cfg.Rules, logger: cfg.Logger, tracked: new(atomic.Int64), count: new(atomic.Int64),
		table: warmup.NewTable(), shares: quota.NewSteady(), services: make(map[string]coldService),
	}
}

// limit returns the limit in force for the servers of a service.
func (s *coldServers) limit(service string) warmUpLimit {
	if s.rules == nil {
		return warmUpLimit{}
	}
	table := s.rules()
	if table == nil {
		return warmUpLimit{}
	}
	declared := table.Service(service)
	return warmUpLimit{perSecond: declared.WarmUpRate, usual: declared.WarmUp}
}

// any reports whether any server may be limited. The caller need not hold the mutex.
func (s *coldServers) any(service string) bool {
	return s.count.Load() > 0 || s.tracked.Load() > 0 && s.limit(service).perSecond > 0
}

// setServers replaces the listed servers of a service.
func (s *coldServers) setServers(now time.Time, service string, servers []mustardsaddle.Server) {
	if s.table.SetServers(now, service, servers) {
		s.update(now, service)
	}
}

// refreshAll adapts the limits to the time and the rules, and returns the number of servers
// that are limited.
func (s *coldServers) refreshAll(now time.Time) int {
	for service := range s.services {
		s.refresh(now, service)
	}
	return int(s.count.Load())
}

// refresh adapts the limits of the servers of a service to the time and the rules.
func (s *coldServers) refresh(now time.Time, service string) {
	known := s.services[service]
	warm := func(c coldServer) bool { return !now.Before(c.WarmAt) }
	if known.limit != s.limit(service) || slices.ContainsFunc(known.servers, warm) {
		s.update(now, service)
	}
}

// update recomputes which servers of a service are limited.
func (s *coldServers) update(now time.Time, service string) {
	old, next := s.services[service], coldService{limit: s.limit(service)}
	known := make(map[string]coldServer, len(old.servers))
	for _, c := range old.servers {
		known[c.Name] = c
	}
	if next.limit.perSecond > 0 {
		for _, cold := range s.table.Cold(now, service, next.limit.usual) {
			c, ok := known[cold.Name]
			c.Server = cold
			if !ok {
				c.since = now
				s.logBegin(now, service, c, next.limit)
			}
			if !ok || old.limit != next.limit {
				s.shares.Set(now, c.Name, mustardsaddle.Statement{}.WithLimit(next.limit.perSecond))
			}
			next.servers = append(next.servers, c)
			delete(known, c.Name)
		}
	}
	for _, c := range old.servers {
		if _, ended := known[c.Name]; ended {
			if !s.limitedElsewhere(service, c.Name) {
				s.shares.Set(now, c.Name, mustardsaddle.Statement{})
			}
			event.Info(s.logger, event.ServerWarm).Str("Service", service).Str("Server", c.Name).
				Int64("Incarnation", c.Incarnation).Dur("For", now.Sub(c.since)).Stringer("Source", c.Source).Send()
		}
	}
	s.tracked.Store(int64(s.table.Len()))
	s.count.Add(int64(len(next.servers) - len(old.servers)))
	s.services[service] = next
	if next.limit.perSecond == 0 {
		delete(s.services, service)
	}
}

// limitedElsewhere reports whether a server is limited as one of another service, to which
// its name has moved.
func (s *coldServers) limitedElsewhere(service, server string) bool {
	for other, known := range s.services {
		if other != service && slices.ContainsFunc(known.servers, func(c coldServer) bool { return c.Name == server }) {
			return true
		}
	}
	return false
}

// logBegin logs that a cold server is limited from now on.
func (s *coldServers) logBegin(now time.Time, service string, c coldServer, limit warmUpLimit) {
	event.Info(s.logger, event.ServerWarmUp).Str("Service", service).Str("Server", c.Name).Int64("Incarnation", c.Incarnation).
		Dur("Left", c.WarmAt.Sub(now)).Stringer("Source", c.Source).Float64("PerSecond", limit.perSecond).Send()
}

// observeWarmUp processes what a response states about the warm-up of its server.
func (c *Controller) observeWarmUp(now time.Time, r Response) {
	left, stated, err := statement.ParseWarmUp(c.controllers.cfg.Headers, r.Header)
	if err == nil && (!stated || left == 0) {
		return
	}
	if err != nil {
		c.reportUnreadable(r, err)
	}
	s := c.controllers.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.cold.table.ObserveUnreadable(now, c.Service, r.Server) ||
		err == nil && s.cold.table.Observe(now, c.Service, r.Server, left) {
		s.cold.update(now, c.Service)
	}
}
