package quota

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

const (
	// settleTime is the time after its start for which a gateway holds no share of steady
	// Quotas, since it may not know the other gateways yet.
	settleTime = 3 * time.Second
	// retainGone is how long a gateway that is gone counts in the order of holders. Gateways
	// that cannot reach each other keep the same order for this time.
	retainGone = 30 * time.Second
)

// NewSteady returns Quotas without limits, whose limits hold also among gateways that are
// out of touch. A gateway that starts holds no share for settleTime. A gateway that is gone
// counts in the order of holders for retainGone, while its share is not used. The share of a
// holder does not grow when gateways are lost.
func NewSteady() *Quotas {
	q := New()
	q.order = &steadyOrder{known: make(map[string]knownGateway)}
	return q
}

// steadyOrder holds the gateways among which the holders are ranked.
type steadyOrder struct {
	// startedAt is when the gateway started, and changesAt when ranked changes next by time
	// alone; zero if it does not.
	startedAt, changesAt time.Time
	known                map[string]knownGateway
	ranked               []mustardsaddle.VM
	// largest is the largest number of gateways known at a time.
	largest int
}

// knownGateway is a gateway that is live, or was until goneAt.
type knownGateway struct {
	mustardsaddle.VM
	goneAt time.Time
}

// start records the first use.
func (o *steadyOrder) start(now time.Time) {
	if o.startedAt.IsZero() {
		o.startedAt = now
		o.changesAt = now.Add(settleTime)
	}
}

// setLive replaces the live gateways.
func (o *steadyOrder) setLive(now time.Time, live []mustardsaddle.VM) {
	o.start(now)
	o.largest = max(o.largest, len(live))
	listed := make(map[string]bool, len(live))
	for _, vm := range live {
		listed[vm.Name] = true
		o.known[vm.Name] = knownGateway{VM: vm}
	}
	for name, g := range o.known {
		if g.goneAt.IsZero() && !listed[name] {
			g.goneAt = now
			o.known[name] = g
		}
	}
	o.rank(now)
}

// rank forgets the gateways that have been gone for retainGone.
func (o *steadyOrder) rank(now time.Time) {
	o.ranked, o.changesAt = o.ranked[:0:0], time.Time{}
	if settledAt := o.startedAt.Add(settleTime); now.Before(settledAt) {
		o.changesAt = settledAt
	}
	for name, g := range o.known {
		forgetAt := g.goneAt.Add(retainGone)
		switch {
		case g.goneAt.IsZero():
		case !now.Before(forgetAt):
			delete(o.known, name)
			continue
		case o.changesAt.IsZero() || forgetAt.Before(o.changesAt):
			o.changesAt = forgetAt
		}
		o.ranked = append(o.ranked, g.VM)
	}
}

// refresh adapts the shares of steady Quotas to the time.
func (q *Quotas) refresh(now time.Time) {
	if q.order == nil || q.order.changesAt.IsZero() || now.Before(q.order.changesAt) {
		return
	}
	q.order.rank(now)
	for name, s := range q.shares {
		q.update(now, name, s)
	}
}

// steadyRate is rate for steady Quotas.
func (q *Quotas) steadyRate(now time.Time, server string, perSecond float64) float64 {
	o := q.order
	o.start(now)
	if now.Before(o.startedAt.Add(settleTime)) {
		return 0
	}
	holders := min(Holders(perSecond), max(o.largest, 1))
	if len(o.ranked) == 0 {
		return perSecond
	}
	if !isListed(q.gateways, q.self) || share.Rank(server, o.ranked, q.self) >= holders {
		return 0
	}
	return perSecond / float64(holders)
}

// stagger makes the first token of a new limit due after this gateway's rank among the
// holders, so that they do not send at the same time.
func (q *Quotas) stagger(now time.Time, server string, s *heldShare) {
	if s.limiter == nil {
		return
	}
	wait := float64(share.Rank(server, q.order.ranked, q.self)+1) / s.perSecond
	interval := 1 / float64(s.limiter.Limit())
	saved := max(interval-wait, 0)
	s.limiter = newLimiter(now.Add(-time.Duration(saved*float64(time.Second))), s.limiter.Limit())
}

func isListed(gateways []mustardsaddle.VM, name string) bool {
	return slices.ContainsFunc(gateways, func(g mustardsaddle.VM) bool { return g.Name == name })
}
