// Package survey chooses the endpoint server for each attempt by load reports that
// a sample of the servers returns just before the choice.
//
// Load can change within the duration of one request, so a report that is a few
// milliseconds old predicts better than longer history. A Chooser therefore selects
// servers to query, half of them with the best last known scores and the rest at
// random, and then picks the server whose free slots and speed promise the earliest
// completion. Later calls use the same reports while they are fresh, adjusted by
// this gateway's own attempts.
//
// A server has capacity while a slot is free. The last slot of a server that is
// slow compared with its peers stays free, since a request there would outlast its
// caller's timeout. No attempt queues in a server: calls that find no capacity
// queue in the gateway, where they can still be reordered and can be refused
// early.
//
// The servers of a large service are divided into subsets: each gateway knows and
// queries one subset.
//
// A server is excluded while it is leaving, has no capacity, does not reply to load
// queries or is ejected. Consecutive failures eject it, each time for twice as
// long. Replies to load queries do not end an ejection early, since a server can
// fail every request while it reports that it is healthy. The share of servers
// ejected at a time is bounded.
//
// A server that counts as leaving only because of its own reports is probed at
// intervals, and may return when its reports no longer say so.
//
// A server whose address is used by another server is excluded for some seconds,
// and after that until a load query reaches it again.
//
// A server that limits its requests is not queried. It is chosen without a recent
// report, as a server with a nominal load, and before the others if it has not responded
// to this gateway for a while: only a response shows that the limit has changed. A server
// that is limited because it warms up is not preferred.
//
// If no server of a service reports its load, the choice depends on this gateway's
// own attempts in flight.
//
// # Usage
//
//	c := survey.New(survey.Config{})
//	c.SetServers(now, servers)
//	c.SetFleet(now, "gateway-1", gateways)
//	for _, server := range c.SelectQueries(now, rng, reqs, 8) {
//		... // query, then c.RecordQuery(now, server.Name, reply) and c.Observe(now, server.Name, report)
//	}
//	choice, ok := c.Choose(now, rng, reqs)
//
// A Chooser is a deterministic state machine: time and the random source are
// arguments. The caller must serialize access to it.
package survey

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
)

const (
	// defaultMaxReportAge is the maximum age of a report that is used for a choice.
	defaultMaxReportAge = 40 * time.Millisecond
	// defaultRequeryAge is the report age below which a server is not queried again.
	defaultRequeryAge = 4 * time.Millisecond
	// defaultMaxEjected is the largest share of servers that are ejected at a time.
	defaultMaxEjected = 0.4
	// defaultSlowRatio is the multiple of the median slowness above which a server
	// counts as slow.
	defaultSlowRatio = 2.0
	// defaultSubset is the approximate number of servers that a gateway knows:
	// enough that a few of them are idle at any load, and few enough that
	// connections to them stay in use.
	defaultSubset = 32
	// defaultProbeInterval is the minimum time between two probes of one server.
	defaultProbeInterval = 500 * time.Millisecond
	// queryTimeout is the time after which a load query without a reply no longer
	// counts as pending.
	queryTimeout = 200 * time.Millisecond
	// lastSlotCost is the relative increase in processing time when a request takes
	// the last free slot.
	lastSlotCost = 0.7
	// queueCost is the relative increase for each request ahead in the server's
	// queue.
	queueCost = 1.0
	// warmUpCost is added to the slowness of a server that is still warming up.
	warmUpCost = 1.0
	// medianStep is how far one report moves the estimate of the median slowness.
	medianStep = 0.02
	// failureCost is the score added at a failure rate of 1.
	failureCost = 4.0
	// crossZoneCost is the score added for a server in another availability zone,
	// and crossZoneByteCost the score added for each byte of its response.
	crossZoneCost     = 0.02
	crossZoneByteCost = 8e-6
)

// Reasons of choices and exclusions, as logged.
const (
	reasonReport       = "Report"
	reasonLimited      = "Limited"
	reasonWarmUp       = "WarmUp"
	reasonOwnInFlight  = "Own"
	reasonFailures     = "Failures"
	reasonAddressTaken = "OtherServer"
	reasonUnresponsive = "Silent"
)

// Config configures a Chooser. Zero values select the defaults.
type Config struct {
	// MaxReportAge is the maximum age of a report that is used for a choice.
	MaxReportAge time.Duration
	// RequeryAge is the report age below which a server is not queried again.
	RequeryAge time.Duration
	// MaxEjected is the largest share of servers that are ejected at a time. A
	// negative value disables ejection.
	MaxEjected float64
	// SlowRatio is the multiple of the median slowness above which the last slot of
	// a server stays free. A negative value makes all slots available.
	SlowRatio float64
	// Subset is the approximate number of servers that a gateway knows of a larger
	// service.
	Subset int
	// ProbeInterval is the minimum time between two probes of one server by all
	// gateways together.
	ProbeInterval time.Duration
	// Zones, if set, makes calls prefer servers of their own availability zone. They leave
	// it when that pays for the price that Zones states.
	Zones *spill.Config
}

// Chooser holds this gateway's view of the servers of one service.
type Chooser struct {
	cfg Config
	// all holds the servers of the service, ordered by name. servers holds the
	// subset that this gateway knows.
	all      []mustardsaddle.Server
	gateways []mustardsaddle.VM
	self     string
	servers  []*server
	byName   map[string]*server
	// hasReports is true once any server of the service has reported its load.
	hasReports bool
	// medianSlowness is a running estimate of the median of the reported slowness.
	medianSlowness float64
	// exclusions holds the servers that were excluded since the last call of
	// Exclusions.
	exclusions []mustardsaddle.Exclusion
	// zones is nil unless Config.Zones is set.
	zones *zones
}

var (
	_ mustardsaddle.LoadQuerier = (*Chooser)(nil)
	_ mustardsaddle.ZoneLeaver  = (*Chooser)(nil)
	_ mustardsaddle.FleetSetter = (*Chooser)(nil)
)

// New returns a Chooser without servers.
func New(cfg Config) *Chooser {
	cfg.MaxReportAge = cmp.Or(cfg.MaxReportAge, defaultMaxReportAge)
	cfg.RequeryAge = cmp.Or(cfg.RequeryAge, defaultRequeryAge)
	cfg.MaxEjected = cmp.Or(cfg.MaxEjected, defaultMaxEjected)
	cfg.Subset = cmp.Or(cfg.Subset, defaultSubset)
	cfg.SlowRatio = cmp.Or(cfg.SlowRatio, defaultSlowRatio)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, defaultProbeInterval)
	if cfg.SlowRatio < 0 {
		cfg.SlowRatio = math.Inf(1)
	}
	c := &Chooser{cfg: cfg, byName: make(map[string]*server), medianSlowness: nominalSlowness}
	if cfg.Zones != nil {
		c.zones = newZones(*cfg.Zones)
	}
	return c
}

// SetServers replaces the set of servers.
func (c *Chooser) SetServers(_ time.Time, servers []mustardsaddle.Server) {
	c.all = slices.Clone(servers)
	slices.SortFunc(c.all, func(a, b mustardsaddle.Server) int { return strings.Compare(a.Name, b.Name) })
	c.rebuild()
}

// SetFleet sets the gateways that share the servers.
func (c *Chooser) SetFleet(_ time.Time, self string, gateways []mustardsaddle.VM) {
	c.self, c.gateways = self, slices.Clone(gateways)
	slices.SortFunc(c.gateways, func(a, b mustardsaddle.VM) int { return strings.Compare(a.Name, b.Name) })
	c.rebuild()
}

// rebuild recomputes the subset that this gateway knows. The state of servers that
// stay is kept. A server with a different incarnation or address counts as a new
// server without state.
func (c *Chooser) rebuild() {
	subset := c.subset()
	byName := make(map[string]*server, len(subset))
	c.servers = c.servers[:0]
	for _, known := range subset {
		s := c.byName[known.Name]
		if s == nil || s.Incarnation != known.Incarnation || s.Address != known.Address {
			s = &server{}
		}
		s.Server = known
		byName[known.Name] = s
		c.servers = append(c.servers, s)
	}
	c.byName = byName
}

// Known returns the subset of the servers that this gateway uses.
func (c *Chooser) Known() []mustardsaddle.Server {
	known := make([]mustardsaddle.Server, len(c.servers))
	for i, s := range c.servers {
		known[i] = s.Server
	}
	return known
}

// Probe picks the server with the oldest probe among those that are leaving only
// because of their own reports: calls do not query them, and only reports can bring
// them back. Other servers are queried by calls only.
func (c *Chooser) Probe(now time.Time, _ *rand.Rand) (mustardsaddle.Server, bool) {
	interval := c.cfg.ProbeInterval * time.Duration(max(len(c.gateways), 1))
	var next *server
	for _, s := range c.servers {
		if !s.Leaving || !s.MayReturn || now.Sub(s.probedAt) < interval {
			continue
		}
		if next == nil || s.probedAt.Before(next.probedAt) {
			next = s
		}
	}
	if next == nil {
		return mustardsaddle.Server{}, false
	}
	next.probedAt = now
	return next.Server, true
}

// Choose picks the server with the best score among those with capacity.
func (c *Chooser) Choose(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	for _, name := range reqs.Limited {
		if s := c.byName[name]; s != nil {
			s.discardOldReport(now, c.cfg.MaxReportAge)
		}
	}
	best := c.lowestScore(now, rng, reqs, func(s *server) bool {
		return c.mayChoose(now, s, reqs)
	})
	reason := reasonReport
	if best != nil && slices.Contains(reqs.Limited, best.Name) {
		reason = reasonLimited
		if slices.Contains(reqs.Cold, best.Name) {
			reason = reasonWarmUp
		}
	}
	if best == nil && (reqs.Unqueried || !c.hasReports) {
		reason = reasonOwnInFlight
		best = c.lowestScore(now, rng, reqs, func(s *server) bool { return s.inFlight < s.slots() })
	}
	if best == nil {
		return mustardsaddle.Choice{}, false
	}
	choice := mustardsaddle.Choice{Server: best.Server, Reason: reason, Report: best.report, Left: c.leftBecause(now, best, reqs)}
	choice.Report.InFlight = best.load
	best.inFlight++
	best.load++
	return choice, true
}

// lowestScore returns the server with the lowest score among the eligible ones for
// which accept returns true. Ties are broken uniformly at random.
func (c *Chooser) lowestScore(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, accept func(*server) bool) *server {
	var best *server
	lowest, ties := 0.0, 0
	for _, s := range c.servers {
		if !c.eligible(now, s, reqs) || !accept(s) {
			continue
		}
		score := c.score(now, s, reqs)
		if slices.Contains(reqs.Limited, s.Name) && !slices.Contains(reqs.Cold, s.Name) && s.needsRecheck(now) {
			score = recheckScore
		}
		switch {
		case best == nil || score < lowest:
			best, lowest, ties = s, score, 1
		case score == lowest:
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// score returns the expected processing time at a server, with the price of its zone, as
// a multiple of the usual one.
func (c *Chooser) score(now time.Time, s *server, reqs mustardsaddle.Requirements) float64 {
	return c.nearScore(now, s, reqs) + c.zoneCost(s, reqs)
}

// nearScore is score without the price of the zone.
func (c *Chooser) nearScore(now time.Time, s *server, reqs mustardsaddle.Requirements) float64 {
	return s.score(now, slices.Contains(reqs.Cold, s.Name))
}

// eligible reports whether a server may be queried or chosen, regardless of its
// load.
func (c *Chooser) eligible(now time.Time, s *server, reqs mustardsaddle.Requirements) bool {
	return !s.Leaving && !slices.Contains(reqs.Exclude, s.Name) && !s.isEjected(now) && !s.unresponsive(now)
}

// Finish records the result of a chosen attempt.
func (c *Chooser) Finish(now time.Time, r mustardsaddle.Result) {
	s := c.byName[r.Server]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.load = max(s.load-1, 0)
	switch {
	case r.AddressTaken:
		s.markAddressTaken(now)
		c.recordExclusion(s.Name, reasonAddressTaken, addressTakenPause, s.failureRate)
	case r.Failed:
		s.recordFailure()
		c.eject(now, s)
	case r.Shed && s.reportsCapacity(now.Add(-r.Latency)):
		// The server sheds although it has just reported a free slot, so the shed
		// does not indicate load.
		s.unexplainedSheds++
		if s.unexplainedSheds >= ejectSheds {
			s.failureRate = max(s.failureRate, ejectFailureRate)
			c.eject(now, s)
		}
	case r.Shed:
		s.load = max(s.load, s.slots())
	case r.Outcome == mustardsaddle.Ran && !r.Canceled:
		s.respondedAt = now
		s.recordSuccess()
		c.zones.recordWork(r.Latency, s.slowness())
	}
}

// eject ejects a server whose failure rate is too high, unless the share of ejected
// servers has reached its bound. If calls prefer their zone, the share is that of the
// server's zone.
func (c *Chooser) eject(now time.Time, s *server) {
	if s.failureRate < ejectFailureRate || s.isEjected(now) {
		return
	}
	if c.mayEject(now, s) {
		failureRate := s.failureRate
		s.eject(now)
		c.recordExclusion(s.Name, reasonFailures, s.ejectedUntil.Sub(now), failureRate)
	}
}

// recordExclusion keeps an exclusion for the log.
func (c *Chooser) recordExclusion(server, reason string, d time.Duration, failureRate float64) {
	c.exclusions = append(c.exclusions, mustardsaddle.Exclusion{Server: server, Reason: reason, Duration: d, FailureRate: failureRate})
}

// Exclusions returns the servers that were excluded since the last call.
func (c *Chooser) Exclusions() []mustardsaddle.Exclusion {
	exclusions := c.exclusions
	c.exclusions = nil
	return exclusions
}

// Observe records a load report of a server.
func (c *Chooser) Observe(now time.Time, name string, report mustardsaddle.Report) {
	s := c.byName[name]
	if s == nil {
		return
	}
	c.hasReports = true
	c.updateMedianSlowness(report.Slowness)
	s.respondedAt = now
	s.report = report
	s.load = report.InFlight
}

// updateMedianSlowness moves the estimate of the median towards a reported value by
// a fixed step, so that it settles where as many reports are above it as below. It
// never falls below nominalSlowness.
func (c *Chooser) updateMedianSlowness(slowness float64) {
	switch {
	case slowness > c.medianSlowness:
		c.medianSlowness += medianStep
	case slowness < c.medianSlowness:
		c.medianSlowness = max(c.medianSlowness-medianStep, nominalSlowness)
	}
}
