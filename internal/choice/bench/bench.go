// Package bench chooses the endpoint server for each attempt of one service.
//
// A Bench ranks servers by a Policy. Around it the same rules hold for every
// policy: a server that leaves or drains is never chosen; a server that fails
// or lags far behind its peers is ejected, but never more than a bounded share
// of the servers, and taken back by probes with a growing backoff; a new server
// starts slowly; a server holds a bounded number of this gateway's attempts.
// When every server that remains is ejected, ejection is ignored.
//
// A Bench is a deterministic state machine: time and the random source are
// arguments. Its owner holds a lock.
//
// # Usage
//
//	b := bench.New(bench.Config{})
//	b.SetServers(now, servers)
//	b.SetFleet(now, "gateway-1", gateways)
//	choice, ok := b.Choose(now, rng, mustardsaddle.Need{Zone: "a"})
//	...
//	b.Observe(now, choice.Server.Name, report)
//	b.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran})
//
// Observe comes before the Finish of the attempt that brought the report, since
// the report counts that attempt.
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
	// othersGain is the weight of a report in the mean load of a server.
	othersGain = 0.05
	// defaultShedPause is how long a shed server without known latency counts
	// as full.
	defaultShedPause = 5 * time.Millisecond
	// minShedPause and maxShedPause bound that time.
	minShedPause = time.Millisecond
	maxShedPause = 50 * time.Millisecond
)

// Config configures a Bench. Zero values mean the defaults.
type Config struct {
	// Policy ranks the servers.
	Policy Policy
	// IgnoreShed leaves out that a server which shed counts as full for the
	// time in which a slot is likely to come free. Only comparisons set it.
	IgnoreShed bool
	// Queue is how many attempts of this gateway a server may hold beyond its
	// slots; -1 means none.
	Queue int
	// SlowStart is the time over which a new server gets its full share; below 0
	// there is none.
	SlowStart time.Duration
	// MaxEjected is the largest share of servers that are ejected at a time;
	// below 0 none is ejected.
	MaxEjected float64
	// ReportHalfLife is the age at which a report counts half.
	ReportHalfLife time.Duration
	// ReportUses is how many choices one report serves.
	ReportUses int
	// ProbeInterval is the least time between two probes of one server by the
	// whole fleet. Each gateway keeps as many times that time as there are live
	// gateways, so that a growing fleet does not raise a server's probe rate.
	ProbeInterval time.Duration
	// Subset is about how many servers a gateway knows of a larger service.
	Subset int
}

// withDefaults returns c with the defaults in place of zero values.
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

// Bench is the state of one service's servers as this gateway sees them.
type Bench struct {
	cfg Config

	// all are the servers of the roster, of which servers are those this
	// gateway knows, ordered by name.
	all      []mustardsaddle.Server
	servers  []*server
	byName   map[string]*server
	gateways []mustardsaddle.VM
	self     string
	fleet    int
	started  bool

	open []*server
	turn string

	// others is the mean load of other gateways on a server.
	others float64
	// surprise is the share of outcomes that no report foresaw.
	surprise float64
	// latencies is the sum over the measured servers, in seconds.
	latencies float64
	measured  int
	ejected   int
}

var _ mustardsaddle.FleetSetter = (*Bench)(nil)

// New returns a Bench without servers.
func New(cfg Config) *Bench {
	return &Bench{cfg: cfg.withDefaults(), fleet: 1, byName: make(map[string]*server)}
}

// SetServers replaces the set of known servers. Servers of the first set count
// as warm, since it is the gateway that is new; later ones start slowly.
func (b *Bench) SetServers(now time.Time, servers []mustardsaddle.Server) {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b mustardsaddle.Server) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, b.all) {
		return
	}
	b.all = sorted
	b.rebuild(now)
	b.started = b.started || len(servers) > 0
}

// SetFleet tells which gateways share the servers.
func (b *Bench) SetFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	// A leaving gateway takes no new calls, and needs no slots of its own.
	sorted := slices.DeleteFunc(slices.Clone(gateways), func(g mustardsaddle.VM) bool { return g.Leaving })
	slices.SortFunc(sorted, func(a, b mustardsaddle.VM) int { return strings.Compare(a.Name, b.Name) })
	b.fleet = max(1, len(gateways))
	if self == b.self && slices.Equal(sorted, b.gateways) {
		return
	}
	b.self = self
	b.gateways = sorted
	b.rebuild(now)
}

// rebuild takes the roster and the fleet into the state, and keeps the state of
// servers that stay.
func (b *Bench) rebuild(now time.Time) {
	known := share.Subset(b.all, b.gateways, b.self, b.cfg.Subset)
	owned := share.Slots(staying(known), b.gateways, b.self)
	byName := make(map[string]*server, len(known))
	for name, s := range b.byName {
		if s.inFlight > 0 {
			s.gone = true
			byName[name] = s
		}
	}
	b.servers = b.servers[:0]
	for _, next := range known {
		s := b.byName[next.Name]
		if s == nil {
			s = &server{Server: next}
			if b.started {
				s.since = now
			}
		}
		if next.Incarnation > s.Incarnation {
			s.restart(now)
		}
		s.Server = next
		s.gone = false
		s.owned = owned[next.Name]
		byName[next.Name] = s
		b.servers = append(b.servers, s)
	}
	b.byName = byName
	b.recount(now)
}

// staying returns the servers that are not leaving.
func staying(servers []mustardsaddle.Server) []mustardsaddle.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s mustardsaddle.Server) bool { return s.Leaving })
}

// recount works out the sums over the servers anew. A smaller set may bound the
// ejected servers more tightly; those that have been out longest come back.
func (b *Bench) recount(now time.Time) {
	b.latencies, b.measured, b.ejected = 0, 0, 0
	for _, s := range b.servers {
		b.latencies += s.latency
		if s.latency > 0 {
			b.measured++
		}
		if s.ejection.active {
			b.ejected++
		}
	}
	for b.ejected > b.ejectable() {
		var first *server
		for _, s := range b.servers {
			if s.ejection.active && (first == nil || s.ejection.until.Before(first.ejection.until)) {
				first = s
			}
		}
		b.admit(now, first)
	}
}

// Choose picks a server by the policy.
func (b *Bench) Choose(now time.Time, rng *rand.Rand, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
	b.collect(now, need, false)
	if len(b.open) == 0 && b.ejected > 0 {
		b.collect(now, need, true)
	}
	if len(b.open) == 0 {
		return mustardsaddle.Choice{}, false
	}
	s, reason := b.pick(now, rng, need.Zone)
	s.inFlight++
	s.uses++
	return mustardsaddle.Choice{Server: s.Server, Reason: reason}, true
}

// collect fills open with the servers that may take an attempt now.
func (b *Bench) collect(now time.Time, need mustardsaddle.Need, ejected bool) {
	b.open = b.open[:0]
	for _, s := range b.servers {
		if s.Leaving || s.report.Draining || s.inFlight >= b.limit(now, s) || now.Before(s.fullUntil) {
			continue
		}
		if b.out(now, s) && !ejected {
			continue
		}
		if slices.Contains(need.Exclude, s.Name) {
			continue
		}
		b.open = append(b.open, s)
	}
}

// Finish tells how a chosen attempt ended.
func (b *Bench) Finish(now time.Time, r mustardsaddle.Result) {
	s := b.byName[r.Server]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
	if s.gone {
		if s.inFlight == 0 {
			delete(b.byName, r.Server)
		}
		return
	}
	b.judge(now, s, r)
	if r.Shed {
		b.fill(now, s)
		return
	}
	if !r.Canceled && !r.Failed {
		s.fullUntil = time.Time{}
	}
	b.learn(now, s, r)
	b.eject(now, s)
}

// fill marks a server that shed as full until one of its slots is likely to be
// free.
func (b *Bench) fill(now time.Time, s *server) {
	if b.cfg.IgnoreShed {
		return
	}
	pause := defaultShedPause
	if s.latency > 0 {
		pause = time.Duration(s.latency / float64(s.slots()) * float64(time.Second))
	}
	s.fullUntil = now.Add(min(maxShedPause, max(minShedPause, pause)))
}

// Observe takes a load report of a server. Own attempts are known better than
// the report can tell, so only what exceeds them is kept, up to twice the slots.
func (b *Bench) Observe(now time.Time, name string, report mustardsaddle.Report) {
	s := b.byName[name]
	if s == nil || s.gone || report.At.Before(s.report.At) {
		return
	}
	s.report = report
	s.uses = 0
	s.others = float64(min(max(0, report.InFlight-s.inFlight), 2*s.slots()))
	b.others += othersGain * (s.others - b.others)
	if !report.Draining && !now.Before(s.ejection.until) {
		b.admit(now, s)
	}
}

// Probe picks the server whose load is most worth asking for: one that a report
// can bring back (ejected, draining, or leaving by its reports alone), then the
// one with the oldest report if the policy reads reports.
func (b *Bench) Probe(now time.Time, rng *rand.Rand) (mustardsaddle.Server, bool) {
	p := newPick(rng, "")
	gap := b.cfg.ProbeInterval * time.Duration(b.fleet)
	for _, s := range b.servers {
		if now.Sub(s.probed) < gap {
			continue
		}
		if worth, ok := b.worth(now, s); ok {
			p.offer(s, -worth)
		}
	}
	if p.best == nil {
		return mustardsaddle.Server{}, false
	}
	p.best.probed = now
	return p.best.Server, true
}

// worth returns what a report of the server is worth, in seconds without one, or
// false if it is worth nothing now.
func (b *Bench) worth(now time.Time, s *server) (float64, bool) {
	if s.Leaving && !s.MayReturn {
		return 0, false
	}
	last := s.report.At
	if s.probed.After(last) {
		last = s.probed
	}
	worth := now.Sub(last).Seconds()
	if s.Leaving || s.report.Draining || (s.ejection.active && !now.Before(s.ejection.until)) {
		return 2 * worth, true
	}
	reads := b.cfg.Policy == HotCold || b.cfg.Policy == PreferredSpill
	return worth, reads && !s.ejection.active
}

// InFlight returns this gateway's own attempts on a server.
func (b *Bench) InFlight(name string) int {
	if s := b.byName[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// Ejected returns how many of the known servers are ejected, and how many are
// known.
func (b *Bench) Ejected() (ejected, known int) {
	return b.ejected, len(b.servers)
}
