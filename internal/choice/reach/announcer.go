package reach

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// announceInterval is the least time between two statements of a gateway, whatever
	// changes meanwhile.
	announceInterval = 500 * time.Millisecond
	// renewInterval is the time after which a gateway that still cannot reach a service
	// states so again.
	renewInterval = 2 * time.Second
	// statementLifetime is the time after which a statement that was not renewed no longer
	// counts. It leaves room for a renewal that is lost.
	statementLifetime = 5 * time.Second
)

// Announcer decides when a gateway tells its linked peers which services it cannot reach:
// at once, but no more often than once in announceInterval, and again while services stay
// lost. What it sends is bounded for each gateway, whatever the size of the fleet and
// however often services are lost and regained. It is a deterministic state machine, and
// not safe for concurrent use.
type Announcer struct {
	own     mustardsaddle.GatewayReach
	changed bool
	sentAt  time.Time
}

// NewAnnouncer returns an Announcer of a gateway that reaches all services.
func NewAnnouncer(self mustardsaddle.VM) *Announcer {
	return &Announcer{own: mustardsaddle.GatewayReach{Name: self.Name, Incarnation: self.Incarnation}}
}

// SetLost replaces the services that the gateway cannot reach.
func (a *Announcer) SetLost(services []string) {
	next := a.own.WithLost(services)
	if !slices.Equal(next.Lost, a.own.Lost) {
		a.own, a.changed = next, true
	}
}

// Next returns the statement that is due, or none and the time until it may be; 0 if there
// is nothing to send until SetLost is called again.
func (a *Announcer) Next(now time.Time) (statement mustardsaddle.GatewayReach, due bool, wait time.Duration) {
	interval := announceInterval
	switch {
	case a.changed:
	case len(a.own.Lost) > 0:
		interval = renewInterval
	default:
		return mustardsaddle.GatewayReach{}, false, 0
	}
	if wait = interval - now.Sub(a.sentAt); wait > 0 {
		return mustardsaddle.GatewayReach{}, false, wait
	}
	a.changed, a.sentAt = false, now
	return a.own, true, 0
}
