// Package quota divides the request rate that an endpoint server takes from all gateways
// together among the gateways.
//
// A limit of a few requests per second is less than one request per gateway, so equal
// shares with a token bucket each would together permit a burst of one request per
// gateway. Instead a few gateways hold the whole rate: the first ones in a rendezvous
// order that all gateways compute alike. Their number, Holders, grows with the limit, so
// that the tokens that they may have saved stay a small part of it. All other gateways
// send the server nothing.
//
// A gateway that becomes a holder starts without a token. The previous holder has
// usually learned of the change by the time that the first token is due.
//
// NewSteady returns Quotas whose limits hold also among gateways that are out of touch, as
// they have to for servers that warm up.
//
// # Usage
//
//	q := quota.New()
//	q.SetFleet(now, "gateway-1", gateways)
//	q.Set(now, "booking-01", stated)
//	if q.Take(now, "booking-01") {
//		... // send the request
//	}
//
// Quotas is a deterministic state machine: time is an argument. The caller must
// serialize access to it.
package quota

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

const (
	// spareHolders is the number of holders beyond one for each request per second. With
	// it, a limit is used although one of its holders has no calls.
	spareHolders = 2
	// minPerSecond is the rate at which a server with a lower limit, even 0, still gets
	// requests. Only a response shows that it has withdrawn the limit.
	minPerSecond = 0.2
	// burst is the number of tokens that a holder can save.
	burst = 1
)

// Never is the wait for a server of which this gateway holds no share.
const Never = time.Duration(math.MaxInt64)

// Quotas holds this gateway's share of the limit of each server.
type Quotas struct {
	self     string
	gateways []mustardsaddle.VM
	shares   map[string]*heldShare
	// order is the order of holders of steady Quotas; nil for others.
	order *steadyOrder
}

// heldShare is this gateway's share of one limit.
type heldShare struct {
	perSecond float64
	// limiter is nil if this gateway is not a holder.
	limiter *rate.Limiter
	// others holds the names of the other holders; nil until they are needed.
	others []string
}

// New returns Quotas without limits.
func New() *Quotas {
	return &Quotas{shares: make(map[string]*heldShare)}
}

// Holders returns the number of gateways that share a limit of perSecond requests per
// second.
func Holders(perSecond float64) int {
	return int(perSecond) + spareHolders
}

// SetFleet sets the gateways that share the limits. An empty list means that this
// gateway is alone; a gateway that is not listed, since it is stopping, holds no share.
func (q *Quotas) SetFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	q.self, q.gateways = self, slices.Clone(gateways)
	if q.order != nil {
		q.order.setLive(now, q.gateways)
	}
	for name, s := range q.shares {
		q.update(now, name, s)
	}
}

// Set sets or, if the statement has no limit, removes the limit of a server.
func (q *Quotas) Set(now time.Time, server string, stated mustardsaddle.Statement) {
	if !stated.Limited {
		delete(q.shares, server)
		return
	}
	s, known := q.shares[server]
	if !known {
		s = &heldShare{}
		q.shares[server] = s
	}
	s.perSecond = max(stated.PerSecond, minPerSecond)
	q.update(now, server, s)
	if !known && q.order != nil {
		q.stagger(now, server, s)
	}
}

// update adapts a share to the limit and the gateways. Tokens that were saved are kept.
func (q *Quotas) update(now time.Time, server string, s *heldShare) {
	s.others = nil
	perSecond := q.rate(now, server, s.perSecond)
	switch {
	case perSecond == 0:
		s.limiter = nil
	case s.limiter == nil:
		s.limiter = newLimiter(now, rate.Limit(perSecond))
	default:
		s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
}

// newLimiter returns a limiter that had no token at the given time.
func newLimiter(emptyAt time.Time, perSecond rate.Limit) *rate.Limiter {
	l := rate.NewLimiter(perSecond, burst)
	l.AllowN(emptyAt, burst)
	return l
}

// rate returns this gateway's share of a limit; 0 if it is not a holder.
func (q *Quotas) rate(now time.Time, server string, perSecond float64) float64 {
	if q.order != nil {
		return q.steadyRate(now, server, perSecond)
	}
	if len(q.gateways) == 0 {
		return perSecond
	}
	holders := min(Holders(perSecond), len(q.gateways))
	if !isListed(q.gateways, q.self) || share.Rank(server, q.gateways, q.self) >= holders {
		return 0
	}
	return perSecond / float64(holders)
}

// HolderNames returns the names of the other gateways that hold a share of a server's
// limit. Callers must not modify the slice.
func (q *Quotas) HolderNames(server string) []string {
	s := q.shares[server]
	if s == nil {
		return nil
	}
	if s.others == nil {
		ranked := q.gateways
		if q.order != nil {
			ranked = q.order.ranked
		}
		first := share.First(server, ranked, Holders(s.perSecond))
		s.others = slices.DeleteFunc(first, func(name string) bool { return name == q.self || !isListed(q.gateways, name) })
	}
	return s.others
}

// Take takes a token for a request to a server. It returns false if there is none. A
// server without a limit needs no token.
func (q *Quotas) Take(now time.Time, server string) bool {
	q.refresh(now)
	s := q.shares[server]
	if s == nil {
		return true
	}
	return s.limiter != nil && s.limiter.AllowN(now, 1)
}

// Wait returns the time until a request to a server has a token: 0 if it has one now or
// needs none, and Never if this gateway holds no share of the limit.
func (q *Quotas) Wait(now time.Time, server string) time.Duration {
	q.refresh(now)
	s := q.shares[server]
	if s == nil {
		return 0
	}
	if s.limiter == nil {
		return Never
	}
	missing := 1 - s.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(s.limiter.Limit()) * float64(time.Second))
}
