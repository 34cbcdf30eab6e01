package survey

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
)

const (
	// defaultWork is the usual processing time assumed until responses show it.
	defaultWork = 100 * time.Millisecond
	// workWeight is the weight of one response in the usual processing time.
	workWeight = 0.02
	// otherSlotCost is the score added for a server of any zone of which this gateway
	// has no slot.
	otherSlotCost = 0.1
)

// zones is the state of a Chooser that prefers the servers of its own zone.
type zones struct {
	spill.Config
	balance *spill.Balance
	// own holds the servers of the own zone of which this gateway has a slot.
	own map[string]int
	// work is the usual processing time of the service.
	work time.Duration
}

func newZones(cfg spill.Config) *zones {
	return &zones{Config: cfg, balance: spill.New(cfg), work: defaultWork}
}

// ownSlots assigns the slots of the zone's servers to its gateways, so that gateways that
// choose at the same moment mostly choose different servers.
func (z *zones) ownSlots(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string) {
	z.own = nil
	i := slices.IndexFunc(gateways, func(g mustardsaddle.VM) bool { return g.Name == self })
	if i < 0 {
		return
	}
	zone := gateways[i].Zone
	near := slices.DeleteFunc(slices.Clone(servers), func(s mustardsaddle.Server) bool { return s.Zone != zone || s.Leaving || s.Evacuated })
	neighbors := slices.DeleteFunc(slices.Clone(gateways), func(g mustardsaddle.VM) bool { return g.Zone != zone })
	z.own = share.Slots(near, neighbors, self)
}

// recordWork records the processing time that a response took at a server with the given
// slowness.
func (z *zones) recordWork(latency time.Duration, slowness float64) {
	if z == nil || latency <= 0 {
		return
	}
	z.work += time.Duration((float64(latency)/max(slowness, nominalSlowness) - float64(z.work)) * workWeight)
}

// zoneCost returns the score added for a server in another zone, and for one of which
// this gateway has no slot.
func (c *Chooser) zoneCost(s *server, reqs mustardsaddle.Requirements) float64 {
	cost := 0.0
	if c.zones != nil && len(c.zones.own) > 0 && c.zones.own[s.Name] == 0 {
		cost = otherSlotCost
	}
	switch {
	case s.Zone == reqs.Zone:
		return cost
	case c.zones == nil:
		return crossZoneCost + crossZoneByteCost*float64(reqs.Bytes)
	default:
		return cost + float64(c.zones.Cost(reqs.Bytes+reqs.RequestBytes))/float64(max(c.zones.work, time.Millisecond))
	}
}

// subset returns the servers that this gateway has to know.
func (c *Chooser) subset() []mustardsaddle.Server {
	if c.zones != nil {
		c.zones.ownSlots(c.all, c.gateways, c.self)
		return share.ZoneSubset(c.all, c.gateways, c.self, c.cfg.Subset)
	}
	return share.Subset(c.all, c.gateways, c.self, c.cfg.Subset)
}

// leftBecause returns why a server of another zone is chosen, or "" for one of the own zone.
func (c *Chooser) leftBecause(now time.Time, chosen *server, reqs mustardsaddle.Requirements) string {
	if c.zones == nil || chosen.Zone == reqs.Zone {
		return ""
	}
	return c.own(now, reqs).Reason.String()
}

// inFirstZone returns the servers that the first load queries of a call may go to: those
// of the own zone, or all if it has none that may get requests.
func (c *Chooser) inFirstZone(now time.Time, reqs mustardsaddle.Requirements) func(*server) bool {
	if c.zones == nil || !c.zoneUsable(now, reqs) {
		return func(*server) bool { return true }
	}
	return func(s *server) bool { return s.Zone == reqs.Zone }
}

// zoneUsable reports whether a server of the own zone may get requests.
func (c *Chooser) zoneUsable(now time.Time, reqs mustardsaddle.Requirements) bool {
	return slices.ContainsFunc(c.servers, func(s *server) bool { return s.Zone == reqs.Zone && c.eligible(now, s, reqs) })
}

// SelectLeaving returns up to n servers of one other zone to query, if leaving the own
// zone may pay. The first load queries of the call have been answered.
func (c *Chooser) SelectLeaving(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, n int) []mustardsaddle.Server {
	if c.zones == nil || !c.zoneUsable(now, reqs) {
		return nil
	}
	decision := c.zones.balance.Decide(now, rng, spill.Call{
		Own: c.own(now, reqs), Work: c.zones.work, Bytes: reqs.Bytes + reqs.RequestBytes, Zones: c.otherZones(now, reqs),
	})
	if decision.Zone == "" {
		return nil
	}
	return c.selectAmong(now, rng, reqs, n, func(s *server) bool { return s.Zone == decision.Zone })
}

// otherZones returns the other zones with servers that may get requests.
func (c *Chooser) otherZones(now time.Time, reqs mustardsaddle.Requirements) []spill.Zone {
	var list []spill.Zone
	for _, s := range c.servers {
		if s.Zone == reqs.Zone || !c.eligible(now, s, reqs) {
			continue
		}
		i := slices.IndexFunc(list, func(z spill.Zone) bool { return z.Name == s.Zone })
		if i < 0 {
			i, list = len(list), append(list, spill.Zone{Name: s.Zone})
		}
		list[i].Servers++
	}
	return list
}

// RecordLeaving records the answers of a zone that SelectLeaving has selected servers of.
func (c *Chooser) RecordLeaving(now time.Time, queried []mustardsaddle.Server) {
	if c.zones == nil || len(queried) == 0 {
		return
	}
	best := c.best(now, mustardsaddle.Requirements{}, func(s *server) bool {
		return slices.ContainsFunc(queried, func(q mustardsaddle.Server) bool { return q.Name == s.Name }) && c.hasRoom(now, s)
	})
	if best == nil {
		c.zones.balance.Observe(now, queried[0].Zone, c.zones.work, 0, false)
		return
	}
	c.zones.balance.Observe(now, queried[0].Zone, c.zones.work, spill.Expected(c.zones.work, best.score(now, false)), true)
}

// own describes the servers of the own zone.
func (c *Chooser) own(now time.Time, reqs mustardsaddle.Requirements) spill.Own {
	best := c.best(now, reqs, func(s *server) bool {
		return s.Zone == reqs.Zone && c.eligible(now, s, reqs) && c.mayChoose(now, s, reqs)
	})
	own := spill.Own{Reason: spill.Loaded}
	switch {
	case best == nil && !c.zoneUsable(now, reqs):
		own.Reason = spill.Lost
	case best == nil:
		own.Reason = spill.Busy
	case best.Cold(now) || slices.Contains(reqs.Cold, best.Name):
		own.Reason = spill.Cold
	case best.slowness() > c.cfg.SlowRatio*c.medianSlowness:
		own.Reason = spill.Slow
	}
	if best != nil {
		own.Time = spill.Expected(c.zones.work, c.nearScore(now, best, reqs))
	}
	return own
}

// hasRoom reports whether a server has recently reported that it has capacity.
func (c *Chooser) hasRoom(now time.Time, s *server) bool {
	return s.fresh(now, c.cfg.MaxReportAge) && s.hasCapacity(c.cfg.SlowRatio*c.medianSlowness)
}

// mayChoose reports whether an eligible server may be chosen by its load: it has recently
// reported capacity, or limits its requests and has a slot that this gateway does not use.
func (c *Chooser) mayChoose(now time.Time, s *server, reqs mustardsaddle.Requirements) bool {
	return c.hasRoom(now, s) || slices.Contains(reqs.Limited, s.Name) && s.inFlight < s.slots()
}

// best returns the server with the lowest score, price aside, among those for which accept
// returns true.
func (c *Chooser) best(now time.Time, reqs mustardsaddle.Requirements, accept func(*server) bool) *server {
	var best *server
	for _, s := range c.servers {
		if accept(s) && (best == nil || c.nearScore(now, s, reqs) < c.nearScore(now, best, reqs)) {
			best = s
		}
	}
	return best
}

// mayEject reports whether one more server may be ejected: within the bound for all known
// servers and, if calls prefer their zone, within that for the zone of the server, where
// one may always be ejected.
func (c *Chooser) mayEject(now time.Time, s *server) bool {
	ejected, ejectedInZone, inZone := 0, 0, 0
	for _, other := range c.servers {
		near := other.Zone == s.Zone
		if near {
			inZone++
		}
		if other.isEjected(now) {
			ejected++
			if near {
				ejectedInZone++
			}
		}
	}
	if float64(ejected+1) > c.cfg.MaxEjected*float64(len(c.servers)) {
		return false
	}
	return c.zones == nil || float64(ejectedInZone+1) <= max(c.cfg.MaxEjected*float64(inZone), 1)
}
