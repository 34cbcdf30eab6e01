package gateway

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// SetFleet tells which gateway VMs there are, this one included. All of them share
// the connections of each server, since a leaving gateway keeps its connections
// until its last call has finished; choosers divide the servers among those that
// stay.
func (g *Gateway) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	g.gateways.Store(int64(len(gateways)))
	live := slices.DeleteFunc(slices.Clone(gateways), func(v mustardsaddle.VM) bool { return v.Leaving })
	g.mu.Lock()
	same := slices.EqualFunc(g.fleet, live, func(a, b mustardsaddle.VM) bool { return a.Name == b.Name })
	g.fleet = live
	g.mu.Unlock()
	for _, l := range g.allLanes() {
		l.updateBounds(now)
		if !same {
			l.setFleet(now, live)
		}
	}
}

// setFleet passes the live gateways on to a chooser that divides servers.
func (l *lane) setFleet(now time.Time, live []mustardsaddle.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.chooser.(mustardsaddle.FleetSetter); ok && len(live) > 0 {
		c.SetFleet(now, l.g.cfg.Name, live)
	}
}

// SetRetry changes the bounds of retries and hedges in a window: the share that a
// call earns, and the slack of the whole fleet.
func (g *Gateway) SetRetry(now time.Time, bounds booking.Bounds) {
	g.retry.Store(&bounds)
	for _, l := range g.allLanes() {
		l.updateBounds(now)
	}
}

// updateBounds takes bounds, or a size of the fleet, that have changed.
func (l *lane) updateBounds(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setBounds()
	l.setQuestions(now)
}
