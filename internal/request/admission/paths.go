package admission

import (
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// Scopes of the loss of a service, as logged.
const (
	scopeAll            = "All"
	scopeNewConnections = "NewConnections"
)

// updatePaths passes on the servers that may get requests. If the chooser knows only a
// subset of the service, those are the ones that it knows. The caller holds mu.
func (c *Controller) updatePaths(servers []mustardsaddle.Server) {
	c.known = nil
	if subset, ok := c.chooser.(mustardsaddle.LoadQuerier); ok {
		servers = subset.Known()
		c.known = make(map[string]bool, len(servers))
		for _, s := range servers {
			c.known[s.Name] = true
		}
	}
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		if !s.Leaving && !s.Evacuated {
			names = append(names, s.Name)
		}
	}
	c.paths.SetServers(names)
	c.dials.SetServers(names)
}

// recordReply records that a server returned something. It returns true if the service is
// regained. The caller holds mu.
func (c *Controller) recordReply(now time.Time, server string) bool {
	lost, lostFor := c.paths.Lost(now)
	if !lost {
		c.paths.Reply(now, server)
		return false
	}
	e := c.paths.Evidence(now)
	if c.paths.Reply(now, server) != reach.Regained {
		return false
	}
	c.logRegained(scopeAll, e, lostFor)
	return true
}

// recordFailure records that a server returned nothing. It returns true if the service is
// lost with that. The caller holds mu.
func (c *Controller) recordFailure(now time.Time, f reach.Failure) bool {
	if c.paths.Fail(now, f) != reach.Lost {
		return false
	}
	c.logLost(scopeAll, c.paths.Evidence(now))
	return true
}

// logLost logs that the service is lost.
func (c *Controller) logLost(scope string, e reach.Evidence) {
	c.logEvidence(event.Warn(c.controllers.cfg.Logger, event.ServiceLost), scope, e).Dur("LastReply", e.LastReply).Send()
}

// logRegained logs that the service is regained.
func (c *Controller) logRegained(scope string, e reach.Evidence, lostFor time.Duration) {
	c.logEvidence(event.Info(c.controllers.cfg.Logger, event.ServiceRegained), scope, e).Dur("For", lostFor).Send()
}

// logEvidence adds the evidence of the loss of the service to a log event.
func (c *Controller) logEvidence(line *zerolog.Event, scope string, e reach.Evidence) *zerolog.Event {
	return line.Str("Service", c.Service).Str("Scope", scope).Int("Servers", e.Servers).Int("Unreachable", e.Unreachable).Int("Refused", e.Refused).
		Int("Reset", e.Reset).Int("Unanswered", e.Unanswered).Int("NewConnections", e.NewConnections)
}

// RecordReply records that a server returned something.
func (c *Controller) RecordReply(now time.Time, server string) {
	c.mu.Lock()
	changed := c.recordReply(now, server)
	c.mu.Unlock()
	if changed {
		c.controllers.reachChanged(now)
	}
}

// RecordFailure records that a server returned nothing.
func (c *Controller) RecordFailure(now time.Time, f reach.Failure) {
	c.mu.Lock()
	changed := c.recordFailure(now, f)
	var callbacks []func()
	if changed {
		for f := range c.onLost {
			callbacks = append(callbacks, *f)
		}
	}
	c.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
	if changed {
		c.controllers.reachChanged(now)
	}
}

// RecordDial records whether a connection to a server could be opened.
func (c *Controller) RecordDial(now time.Time, opened bool, f reach.Failure) {
	if c.recordDial(now, opened, f) != reach.Unchanged {
		c.controllers.reachChanged(now)
	}
}

func (c *Controller) recordDial(now time.Time, opened bool, f reach.Failure) reach.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, lostFor := c.dials.Lost(now)
	switch {
	case opened && !lost:
		return c.dials.Reply(now, f.Server)
	case opened:
		e := c.dials.Evidence(now)
		change := c.dials.Reply(now, f.Server)
		if change == reach.Regained {
			c.logRegained(scopeNewConnections, e, lostFor)
		}
		return change
	}
	change := c.dials.Fail(now, f)
	if change == reach.Lost {
		c.logLost(scopeNewConnections, c.dials.Evidence(now))
	}
	return change
}

// AvoidDial reports whether a request that needs a new connection to a server should not be
// sent from this gateway. At intervals one is sent nevertheless.
func (c *Controller) AvoidDial(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost, _ := c.dials.Lost(now); !lost {
		return false
	}
	if now.Sub(c.dialProbedAt) < dialProbeInterval {
		return true
	}
	c.dialProbedAt = now
	return false
}

// DialsLost reports whether this gateway cannot open connections to the servers of the
// service. Connections that are open may still work.
func (c *Controller) DialsLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, _ := c.dials.Lost(now)
	return lost
}

// suspect reports whether no server has replied since a call began, although some that
// report their load at once were queried. The caller holds mu.
func (c *Controller) suspect(since time.Time) bool {
	return c.reports && c.queriedAt.After(since) && c.paths.RepliedAt().Before(since)
}

// OnLost calls f if the service is lost before remove is called. It must not block.
func (c *Controller) OnLost(f func()) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := &f
	c.onLost[key] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.onLost, key)
	}
}

// reachChanged passes on which services are lost.
func (cs *Controllers) reachChanged(now time.Time) {
	if cs.cfg.OnReach == nil {
		return
	}
	cs.reachMu.Lock()
	defer cs.reachMu.Unlock()
	cs.cfg.OnReach(now, cs.LostServices(now))
}

// Lost reports whether this gateway cannot reach the servers of the service, and for how
// long.
func (c *Controller) Lost(now time.Time) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Lost(now)
}

// LostServices returns the names of the services whose servers this gateway cannot reach,
// or cannot open connections to.
func (cs *Controllers) LostServices(now time.Time) []string {
	var lost []string
	for _, c := range cs.all() {
		if is, _ := c.Lost(now); is || c.DialsLost(now) {
			lost = append(lost, c.Service)
		}
	}
	return lost
}
