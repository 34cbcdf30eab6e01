// Package bench chooses the endpoint server for each attempt of one service by a
// load-balancing policy.
//
// A Chooser ranks servers by a Policy. The following rules hold for every policy. A
// server that is leaving or draining is never chosen. A server that fails, or whose
// latency is far above that of its peers, is ejected. The share of ejected servers
// is bounded, and probes readmit them with exponential backoff. A new server is
// ramped up by slow start. The number of this gateway's attempts in one server is
// bounded. If every remaining server is ejected, ejection is ignored.
//
// A Chooser is a deterministic state machine: time and the random source are
// arguments. The caller must serialize access to it.
//
// # Usage
//
//	c := bench.New(bench.Config{})
//	c.SetServers(now, servers)
//	c.SetFleet(now, "gateway-1", gateways)
//	choice, ok := c.Choose(now, rng, mustardsaddle.Requirements{Zone: "a"})
//	...
//	c.Observe(now, choice.Server.Name, report)
//	c.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran})
//
// Call Observe before the Finish of the attempt whose response carried the report,
// since the report counts that attempt.
package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

const (
	// otherLoadAlpha is the weight of one report in the moving average of the load
	// that other gateways put on a server.
	otherLoadAlpha = 0.05
	// defaultShedPause is how long a server that shed counts as full if its latency
	// is unknown.
	defaultShedPause = 5 * time.Millisecond
	// minShedPause and maxShedPause bound how long a server that shed counts as
	// full.
	minShedPause = time.Millisecond
	maxShedPause = 50 * time.Millisecond
)

// Config configures a Chooser. Zero values select the defaults.
type Config struct {
	// Policy ranks the servers.
	Policy Policy
	// IgnoreShed keeps a server that shed eligible, instead of counting it as full
	// until a slot is likely to be free. It exists for comparisons only.
	IgnoreShed bool
	// Queue is how many attempts of this gateway a server may hold beyond its
	// slots; -1 means none.
	Queue int
	// SlowStart is the time over which a new server ramps up to its full share. A
	// negative value disables slow start.
	SlowStart time.Duration
	// MaxEjected is the largest share of servers that are ejected at a time. A
	// negative value disables ejection.
	MaxEjected float64
	// ReportHalfLife is the age at which the weight of a report has halved.
	ReportHalfLife time.Duration
	// ReportUses is the maximum number of choices for which one report is used.
	ReportUses int
	// ProbeInterval is the minimum time between two probes of one server by all
	// gateways together. Each gateway multiplies it by the number of live gateways,
	// so that a growing fleet does not raise the probe rate of a server.
	ProbeInterval time.Duration
	// Subset is the approximate number of servers that a gateway knows of a larger
	// service.
	Subset int
}

// withDefaults returns c with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	if c.Policy == Default {
		c.Policy = PreferredSpill
	}
	c.Queue = cmp.Or(c.Queue, 1)
	c.Queue = max(0, c.Queue)
	c.SlowStart = cmp.Or(c.SlowStart, 3*time.Second)
	c.MaxEjected = cmp.Or(c.MaxEjected, 0.5)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, 20*time.Millisecond)
	c.ReportUses = cmp.Or(c.ReportUses, 3)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, 500*time.Millisecond)
	c.Subset = cmp.Or(c.Subset, 128)
	return c
}

// Chooser holds this gateway's view of the servers of one service.
type Chooser struct {
	cfg Config

	// all holds the servers in the roster, ordered by name. servers holds the
	// subset that this gateway knows.
	all          []mustardsaddle.Server
	servers      []*server
	byName       map[string]*server
	gateways     []mustardsaddle.VM
	self         string
	gatewayCount int
	initialized  bool

	candidates []*server
	lastPicked string

	// meanOtherLoad is the moving average, over all servers, of the load that other
	// gateways put on a server.
	meanOtherLoad float64
	// mispredictionRate is the moving average, from 0 to 1, of outcomes that
	// contradicted the last report of their server.
	mispredictionRate float64
	// latencySum is the sum of the average latencies, in seconds, of the
	// latencyCount servers for which one is known.
	latencySum   float64
	latencyCount int
	ejectedCount int
}

var _ mustardsaddle.FleetSetter = (*Chooser)(nil)

// New returns a Chooser without servers.
func New(cfg Config) *Chooser {
	return &Chooser{cfg: cfg.withDefaults(), gatewayCount: 1, byName: make(map[string]*server)}
}

// SetServers replaces the set of known servers. Servers of the first set count as
// warm, since it is the gateway that is new. Servers that are added later go
// through slow start.
func (c *Chooser) SetServers(now time.Time, servers []mustardsaddle.Server) {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b mustardsaddle.Server) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, c.all) {
		return
	}
	c.all = sorted
	c.rebuild(now)
	c.initialized = c.initialized || len(servers) > 0
}

// SetFleet sets the gateways that share the servers.
func (c *Chooser) SetFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	// A leaving gateway takes no new calls and needs no slots assigned to it.
	sorted := slices.DeleteFunc(slices.Clone(gateways), func(g mustardsaddle.VM) bool { return g.Leaving })
	slices.SortFunc(sorted, func(a, b mustardsaddle.VM) int { return strings.Compare(a.Name, b.Name) })
	c.gatewayCount = max(1, len(gateways))
	if self == c.self && slices.Equal(sorted, c.gateways) {
		return
	}
	c.self = self
	c.gateways = sorted
	c.rebuild(now)
}

// rebuild recomputes the subset of servers and the assigned slots. The state of
// servers that stay is kept.
func (c *Chooser) rebuild(now time.Time) {
	known := share.Subset(c.all, c.gateways, c.self, c.cfg.Subset)
	assigned := share.Slots(withoutLeaving(known), c.gateways, c.self)
	byName := make(map[string]*server, len(known))
	for name, s := range c.byName {
		if s.inFlight > 0 {
			s.removed = true
			byName[name] = s
		}
	}
	c.servers = c.servers[:0]
	for _, next := range known {
		s := c.byName[next.Name]
		if s == nil {
			s = &server{Server: next}
			if c.initialized {
				s.slowStartAt = now
			}
		}
		if next.Incarnation > s.Incarnation {
			s.restart(now)
		}
		s.Server = next
		s.removed = false
		s.assignedSlots = assigned[next.Name]
		byName[next.Name] = s
		c.servers = append(c.servers, s)
	}
	c.byName = byName
	c.recomputeTotals(now)
}

// withoutLeaving returns the servers that are not leaving.
func withoutLeaving(servers []mustardsaddle.Server) []mustardsaddle.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s mustardsaddle.Server) bool { return s.Leaving })
}

// recomputeTotals recomputes the totals over all servers. A smaller set can lower
// the number of servers that may be ejected; those whose ejection ends first are
// then readmitted.
func (c *Chooser) recomputeTotals(now time.Time) {
	c.latencySum, c.latencyCount, c.ejectedCount = 0, 0, 0
	for _, s := range c.servers {
		c.latencySum += s.latency
		if s.latency > 0 {
			c.latencyCount++
		}
		if s.ejection.active {
			c.ejectedCount++
		}
	}
	for c.ejectedCount > c.maxEjected() {
		var earliest *server
		for _, s := range c.servers {
			if s.ejection.active && (earliest == nil || s.ejection.until.Before(earliest.ejection.until)) {
				earliest = s
			}
		}
		c.readmit(now, earliest)
	}
}

// Choose picks a server by the policy.
func (c *Chooser) Choose(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	c.collectCandidates(now, reqs, false)
	if len(c.candidates) == 0 && c.ejectedCount > 0 {
		c.collectCandidates(now, reqs, true)
	}
	if len(c.candidates) == 0 {
		return mustardsaddle.Choice{}, false
	}
	s, reason := c.selectServer(now, rng, reqs.Zone)
	s.inFlight++
	s.reportUses++
	return mustardsaddle.Choice{Server: s.Server, Reason: reason}, true
}

// collectCandidates fills candidates with the servers that may take an attempt now.
func (c *Chooser) collectCandidates(now time.Time, reqs mustardsaddle.Requirements, includeEjected bool) {
	c.candidates = c.candidates[:0]
	for _, s := range c.servers {
		if s.Leaving || s.report.Draining || s.inFlight >= c.attemptLimit(now, s) || now.Before(s.fullUntil) {
			continue
		}
		if c.isEjected(now, s) && !includeEjected {
			continue
		}
		if slices.Contains(reqs.Exclude, s.Name) {
			continue
		}
		c.candidates = append(c.candidates, s)
	}
}

// Finish records the result of a chosen attempt.
func (c *Chooser) Finish(now time.Time, r mustardsaddle.Result) {
	s := c.byName[r.Server]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
	if s.removed {
		if s.inFlight == 0 {
			delete(c.byName, r.Server)
		}
		return
	}
	c.recordPrediction(now, s, r)
	if r.Shed {
		c.markFull(now, s)
		return
	}
	if !r.Canceled && !r.Failed {
		s.fullUntil = time.Time{}
	}
	c.updateAverages(now, s, r)
	c.eject(now, s)
}

// markFull marks a server that shed as full until one of its slots is likely to be
// free.
func (c *Chooser) markFull(now time.Time, s *server) {
	if c.cfg.IgnoreShed {
		return
	}
	pause := defaultShedPause
	if s.latency > 0 {
		pause = time.Duration(s.latency / float64(s.slots()) * float64(time.Second))
	}
	s.fullUntil = now.Add(min(maxShedPause, max(minShedPause, pause)))
}

// Observe records a load report of a server. This gateway's own attempts are known
// more exactly than the report states them, so only the load beyond them is kept,
// up to twice the slots.
func (c *Chooser) Observe(now time.Time, name string, report mustardsaddle.Report) {
	s := c.byName[name]
	if s == nil || s.removed || report.At.Before(s.report.At) {
		return
	}
	s.report = report
	s.reportUses = 0
	s.otherLoad = float64(min(max(0, report.InFlight-s.inFlight), 2*s.slots()))
	c.meanOtherLoad += otherLoadAlpha * (s.otherLoad - c.meanOtherLoad)
	if !report.Draining && !now.Before(s.ejection.until) {
		c.readmit(now, s)
	}
}

// Probe picks the server with the oldest report or probe. A server that a report
// can bring back (ejected, draining, or leaving only by its own reports) counts as
// twice as old. Other servers are probed only if the policy uses reports.
func (c *Chooser) Probe(now time.Time, rng *rand.Rand) (mustardsaddle.Server, bool) {
	sel := newSelection(rng, "")
	interval := c.cfg.ProbeInterval * time.Duration(c.gatewayCount)
	for _, s := range c.servers {
		if now.Sub(s.probedAt) < interval {
			continue
		}
		if value, ok := c.probeValue(now, s); ok {
			sel.offer(s, -value)
		}
	}
	if sel.best == nil {
		return mustardsaddle.Server{}, false
	}
	sel.best.probedAt = now
	return sel.best.Server, true
}

// probeValue returns the priority of probing the server, which grows with the
// seconds since its last report or probe. It returns false if the server need not
// be probed now.
func (c *Chooser) probeValue(now time.Time, s *server) (float64, bool) {
	if s.Leaving && !s.MayReturn {
		return 0, false
	}
	last := s.report.At
	if s.probedAt.After(last) {
		last = s.probedAt
	}
	value := now.Sub(last).Seconds()
	if s.Leaving || s.report.Draining || (s.ejection.active && !now.Before(s.ejection.until)) {
		return 2 * value, true
	}
	usesReports := c.cfg.Policy == HotCold || c.cfg.Policy == PreferredSpill
	return value, usesReports && !s.ejection.active
}

// InFlight returns the number of this gateway's attempts in flight on a server.
func (c *Chooser) InFlight(name string) int {
	if s := c.byName[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// Ejected returns how many of the known servers are ejected, and how many are
// known.
func (c *Chooser) Ejected() (ejected, known int) {
	return c.ejectedCount, len(c.servers)
}
