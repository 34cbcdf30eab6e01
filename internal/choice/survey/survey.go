// Package survey chooses the endpoint server of an attempt by what a few servers
// say of their load just before it.
//
// Where load changes within the time of one request, a report that is some
// milliseconds old is worth more than any memory. So a Survey names servers to ask,
// mostly those that looked good a moment ago and some at random, and then picks the
// one whose slots and speed promise the earliest end. What it learns serves the
// next calls for as long as it is fresh; this gateway's own attempts are counted
// into it meanwhile.
//
// A server has room while a slot is free; in a server that is slow among its peers
// the last slot stays free, since work there would outlast what callers wait for. So
// no attempt waits in a server: calls that find no room wait in the gateway, where
// their order can still change and a refusal comes early.
//
// A service with many servers is divided: a gateway knows and asks a part of them.
//
// A server is passed over while it leaves, while it has no room, or while it is out:
// failures in a row take it out for a time that doubles, and answers to
// questions alone do not bring it back earlier, since a server can fail every
// request while it says that it is well. At most a share of the servers is out.
//
// A server that leaves by its own reports alone is probed now and then, and is back
// when its reports say so.
//
// A server whose address another one has is passed over until a question shows that
// it is back.
//
// Services whose servers never report their load are chosen for by this gateway's
// own attempts in flight.
//
// # Usage
//
//	s := survey.New(survey.Config{})
//	s.SetServers(now, servers)
//	s.SetFleet(now, "gateway-1", gateways)
//	for _, server := range s.Ask(now, rng, need, 8) {
//		... // ask, then s.Asked(now, server.Name, reply) and s.Observe(now, server.Name, report)
//	}
//	choice, ok := s.Choose(now, rng, need)
//
// A Survey is a deterministic state machine: time and the random source are
// arguments. Its owner holds a lock.
package survey

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

const (
	// defaultFresh is the age up to which a report decides.
	defaultFresh = 40 * time.Millisecond
	// defaultCurrent is the age below which a server is not asked again.
	defaultCurrent = 4 * time.Millisecond
	// defaultMaxOut is the largest share of servers that are out at a time.
	defaultMaxOut = 0.4
	// defaultSlowRatio is the multiple of the usual slowness above which a server is
	// slow.
	defaultSlowRatio = 2.0
	// defaultSubset is about how many servers a gateway knows: enough that a few of
	// them are idle at any load, few enough that connections to them stay in use.
	defaultSubset = 32
	// defaultProbeInterval is the least time between two probes of one server.
	defaultProbeInterval = 500 * time.Millisecond
	// questionTimeout is the time after which a question without an answer is
	// given up.
	questionTimeout = 200 * time.Millisecond
	// crowding is how much longer work takes when it takes the last slot.
	crowding = 0.7
	// waitingCost is what each request ahead in the queue of a server adds.
	waitingCost = 1.0
	// coldCost is how much longer work takes on a server that has just started.
	coldCost = 1.0
	// usualStep is how far one report moves the median slowness.
	usualStep = 0.02
	// failureCost is how much an expected failure adds to the score.
	failureCost = 4.0
	// awayCost is what a server in another availability zone adds, and awayByteCost
	// what each byte of an answer adds that has to cross.
	awayCost     = 0.02
	awayByteCost = 8e-6
)

// Reasons of choices and of verdicts.
const (
	reasonReport   = "Report"
	reasonOwn      = "Own"
	reasonFailures = "Failures"
	reasonGone     = "OtherServer"
	reasonSilent   = "Silent"
)

// Config configures a Survey. Zero values mean the defaults.
type Config struct {
	// Fresh is the age up to which a report decides.
	Fresh time.Duration
	// Current is the age below which a server is not asked again.
	Current time.Duration
	// MaxOut is the largest share of servers that are out at a time; below 0 none
	// is.
	MaxOut float64
	// SlowRatio is the multiple of the usual slowness above which the last slot of a
	// server stays free; below 0 all slots are used.
	SlowRatio float64
	// Subset is about how many servers a gateway knows of a larger service.
	Subset int
	// ProbeInterval is the least time between two probes of one server by all
	// gateways together.
	ProbeInterval time.Duration
}

// Survey is the state of one service's servers as this gateway sees them.
type Survey struct {
	cfg Config
	// all are the servers of the service, of which servers are those this gateway
	// knows, ordered by name.
	all      []mustardsaddle.Server
	gateways []mustardsaddle.VM
	self     string
	servers  []*server
	byName   map[string]*server
	// reporting is true once any server of the service has reported its load.
	reporting bool
	// usual is the median slowness of the servers' reports.
	usual float64
	// verdicts are the servers that were taken out since Verdicts was called.
	verdicts []mustardsaddle.Verdict
}

var (
	_ mustardsaddle.Surveyor    = (*Survey)(nil)
	_ mustardsaddle.FleetSetter = (*Survey)(nil)
)

// New returns a Survey without servers.
func New(cfg Config) *Survey {
	cfg.Fresh = cmp.Or(cfg.Fresh, defaultFresh)
	cfg.Current = cmp.Or(cfg.Current, defaultCurrent)
	cfg.MaxOut = cmp.Or(cfg.MaxOut, defaultMaxOut)
	cfg.Subset = cmp.Or(cfg.Subset, defaultSubset)
	cfg.SlowRatio = cmp.Or(cfg.SlowRatio, defaultSlowRatio)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, defaultProbeInterval)
	if cfg.SlowRatio < 0 {
		cfg.SlowRatio = math.Inf(1)
	}
	return &Survey{cfg: cfg, byName: make(map[string]*server), usual: usualSlowness}
}

// SetServers replaces the set of servers.
func (v *Survey) SetServers(_ time.Time, servers []mustardsaddle.Server) {
	v.all = slices.Clone(servers)
	slices.SortFunc(v.all, func(a, b mustardsaddle.Server) int { return strings.Compare(a.Name, b.Name) })
	v.rebuild()
}

// SetFleet tells which gateways share the servers.
func (v *Survey) SetFleet(_ time.Time, self string, gateways []mustardsaddle.VM) {
	v.self, v.gateways = self, slices.Clone(gateways)
	slices.SortFunc(v.gateways, func(a, b mustardsaddle.VM) int { return strings.Compare(a.Name, b.Name) })
	v.rebuild()
}

// rebuild takes the servers that this gateway knows. What is known of those that
// stay is kept; a server with another start or address is another server, of which
// nothing is known.
func (v *Survey) rebuild() {
	mine := share.Subset(v.all, v.gateways, v.self, v.cfg.Subset)
	byName := make(map[string]*server, len(mine))
	v.servers = v.servers[:0]
	for _, known := range mine {
		s := v.byName[known.Name]
		if s == nil || s.Incarnation != known.Incarnation || s.Address != known.Address {
			s = &server{}
		}
		s.Server = known
		byName[known.Name] = s
		v.servers = append(v.servers, s)
	}
	v.byName = byName
}

// Ask returns up to n servers to ask: those with the best score as last known, and
// as many at random.
func (v *Survey) Ask(now time.Time, rng *rand.Rand, need mustardsaddle.Need, n int) []mustardsaddle.Server {
	var candidates []*server
	for _, s := range v.servers {
		if v.usable(now, s, need) && s.worthAsking(now, v.cfg.Current) {
			candidates = append(candidates, s)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if len(candidates) > n {
		best := slices.Clone(candidates)
		slices.SortStableFunc(best, func(a, b *server) int {
			return cmp.Compare(a.score(now, need), b.score(now, need))
		})
		candidates = mix(best[:n/2], candidates, n)
	}
	asked := make([]mustardsaddle.Server, len(candidates))
	for i, s := range candidates {
		s.asked = now
		asked[i] = s.Server
	}
	return asked
}

// mix returns the first servers and then others, n in all.
func mix(first, others []*server, n int) []*server {
	list := slices.Clone(first)
	for _, s := range others {
		if len(list) == n {
			break
		}
		if !slices.Contains(first, s) {
			list = append(list, s)
		}
	}
	return list
}

// Unasked tells that servers of Ask were not asked after all.
func (v *Survey) Unasked(servers []mustardsaddle.Server) {
	for _, known := range servers {
		if s := v.byName[known.Name]; s != nil {
			s.asked = time.Time{}
		}
	}
}

// Asked tells what became of a question.
func (v *Survey) Asked(now time.Time, name string, reply mustardsaddle.Reply) {
	s := v.byName[name]
	if s == nil {
		return
	}
	s.asked = time.Time{}
	switch reply {
	case mustardsaddle.NoReply:
		s.missed++
		s.missedAt = now
		if s.missed == silentQuestions {
			v.tell(s.Name, reasonSilent, silentPause, s.failures)
		}
	case mustardsaddle.OtherReply:
		s.gone(now)
		v.tell(s.Name, reasonGone, gonePause, s.failures)
	case mustardsaddle.OwnReply:
		s.missed = 0
	}
}

// Probe picks the server with the oldest probe among those that leave by their
// reports alone: no call asks them, and only reports can bring them back. All other
// questions come with calls.
func (v *Survey) Probe(now time.Time, _ *rand.Rand) (mustardsaddle.Server, bool) {
	gap := v.cfg.ProbeInterval * time.Duration(max(len(v.gateways), 1))
	var next *server
	for _, s := range v.servers {
		if !s.Leaving || !s.MayReturn || now.Sub(s.probed) < gap {
			continue
		}
		if next == nil || s.probed.Before(next.probed) {
			next = s
		}
	}
	if next == nil {
		return mustardsaddle.Server{}, false
	}
	next.probed = now
	return next.Server, true
}

// Choose picks the server with the best score that has room.
func (v *Survey) Choose(now time.Time, rng *rand.Rand, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
	reason := reasonReport
	best := v.best(now, rng, need, func(s *server) bool { return s.fresh(now, v.cfg.Fresh) && s.hasRoom(v.cfg.SlowRatio*v.usual) })
	if best == nil && (need.Blind || !v.reporting) {
		reason = reasonOwn
		best = v.best(now, rng, need, func(s *server) bool { return s.inFlight < s.slots() })
	}
	if best == nil {
		return mustardsaddle.Choice{}, false
	}
	choice := mustardsaddle.Choice{Server: best.Server, Reason: reason, Report: best.report}
	choice.Report.InFlight = best.busy
	best.inFlight++
	best.busy++
	return choice, true
}

// best returns the usable server with the lowest score that passes the test. Among
// equals each has the same chance.
func (v *Survey) best(now time.Time, rng *rand.Rand, need mustardsaddle.Need, test func(*server) bool) *server {
	var best *server
	lowest, ties := 0.0, 0
	for _, s := range v.servers {
		if !v.usable(now, s, need) || !test(s) {
			continue
		}
		score := s.score(now, need)
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

// usable reports whether a server may be chosen at all.
func (v *Survey) usable(now time.Time, s *server, need mustardsaddle.Need) bool {
	return !s.Leaving && !slices.Contains(need.Exclude, s.Name) && !s.isOut(now) && !s.silent(now)
}

// Finish tells how a chosen attempt ended.
func (v *Survey) Finish(now time.Time, r mustardsaddle.Result) {
	s := v.byName[r.Server]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.busy = max(s.busy-1, 0)
	switch {
	case r.Gone:
		s.gone(now)
		v.tell(s.Name, reasonGone, gonePause, s.failures)
	case r.Failed:
		s.fail()
		v.takeOut(now, s)
	case r.Shed && s.saysRoom(now.Add(-r.Latency)):
		// It sheds although it says that it has room, which is no sign of load.
		s.refusals++
		if s.refusals >= outRefusals {
			s.failures = max(s.failures, outFailures)
			v.takeOut(now, s)
		}
	case r.Shed:
		s.busy = max(s.busy, s.slots())
	case r.Outcome == mustardsaddle.Ran && !r.Canceled:
		s.succeed()
	}
}

// takeOut takes a server out that has failed too often, unless too many are out.
func (v *Survey) takeOut(now time.Time, s *server) {
	if s.failures < outFailures || s.isOut(now) {
		return
	}
	out := 0
	for _, other := range v.servers {
		if other.isOut(now) {
			out++
		}
	}
	if float64(out+1) <= v.cfg.MaxOut*float64(len(v.servers)) {
		failures := s.failures
		s.takeOut(now)
		v.tell(s.Name, reasonFailures, s.outUntil.Sub(now), failures)
	}
}

// tell notes a verdict for the log.
func (v *Survey) tell(server, reason string, d time.Duration, failures float64) {
	v.verdicts = append(v.verdicts, mustardsaddle.Verdict{Server: server, Reason: reason, For: d, Failures: failures})
}

// Verdicts returns the servers that were taken out since the last call.
func (v *Survey) Verdicts() []mustardsaddle.Verdict {
	verdicts := v.verdicts
	v.verdicts = nil
	return verdicts
}

// Observe takes a load report of a server.
func (v *Survey) Observe(_ time.Time, name string, report mustardsaddle.Report) {
	s := v.byName[name]
	if s == nil {
		return
	}
	v.reporting = true
	v.learnUsual(report.Slowness)
	s.report = report
	s.busy = report.InFlight
}

// learnUsual moves the median slowness towards a reported one by a small step, so
// that it settles where as many reports lie above as below.
func (v *Survey) learnUsual(slowness float64) {
	switch {
	case slowness > v.usual:
		v.usual += usualStep
	case slowness < v.usual:
		v.usual = max(v.usual-usualStep, usualSlowness)
	}
}
