// Package soak generates random fault schedules for soak tests of a small
// system of real processes, and checks the recorded histories of callers and
// servers against the guarantees of the system. It performs no I/O: the test
// harness injects the faults and records the history.
//
// # Usage
//
//	plan := soak.NewPlan(soak.Config{Length: 10 * time.Second, Gateways: 3, Servers: 5}, seed)
//	for _, step := range plan.Steps {
//		// At step.At, inject the fault; after step.For, clear it.
//	}
//	for _, v := range soak.Check(history, limits) {
//		fmt.Println(v)
//	}
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind,Place,CallKind,End,Rule -output=enum_string.go

// Kind is a kind of fault, or an action of an operator.
type Kind int

const (
	// GatewayKilled kills a gateway with SIGKILL and restarts it after a pause.
	GatewayKilled Kind = iota
	// GatewayFrozen suspends a gateway process.
	GatewayFrozen
	// GatewayStopped stops a gateway gracefully and restarts it.
	GatewayStopped
	// GatewayStoppedTwice stops a gateway gracefully and repeats the signal before the stop has
	// ended, and restarts it.
	GatewayStoppedTwice
	// GatewayReloaded makes a gateway reload changed settings.
	GatewayReloaded
	// GatewayMisread makes a gateway reload invalid settings.
	GatewayMisread
	// ServerKilled kills a server and restarts it after a pause.
	ServerKilled
	// ServerFrozen suspends a server process.
	ServerFrozen
	// ServerSlow multiplies the service times of a server.
	ServerSlow
	// ServerFailing makes a server respond with 500 without doing any work.
	ServerFailing
	// ServerDraining makes a server report that it is draining, and refuse
	// requests.
	ServerDraining
	// ServerMisreporting makes a server report that it is idle regardless of its
	// load.
	ServerMisreporting
	// LinkDelayed delays the data of a link.
	LinkDelayed
	// LinkReset resets the connections of a link.
	LinkReset
	// LinkHeldUp holds the requests on a link.
	LinkHeldUp
	// LinkHeldDown holds the responses on a link.
	LinkHeldDown
	// LinkSilent black-holes the open connections of a link permanently.
	LinkSilent
	// LinkRefused refuses new connections of a link.
	LinkRefused
	// StoreDown makes the store refuse every request.
	StoreDown
	// StoreSlow makes the store delay every request.
	StoreSlow
	// StoreLosesAnswers makes the store apply writes without responding.
	StoreLosesAnswers
	// StoreSilent makes the store report no changes to watches.
	StoreSilent
	// StoreLimited makes the store refuse requests above a low rate.
	StoreLimited
	// StoreFrozen suspends the store process.
	StoreFrozen
	// RulesChanged is an operator who adds a routing rule.
	RulesChanged
	// ServerStatedLeaving makes a server state in its responses that it is leaving,
	// although the list of VMs does not say so, and then replaces it.
	ServerStatedLeaving
	// ServerLimiting makes a server state a limit of its requests in its responses.
	ServerLimiting
	// ServerPausing makes a server refuse requests with status 503 and ask for a pause.
	ServerPausing
	// ServerRefusing makes a server refuse most requests. Random plans do not contain it.
	ServerRefusing

	kindCount = int(RulesChanged) + 1
	// kindCountStatements includes the kinds that need Config.Statements.
	kindCountStatements = int(ServerPausing) + 1
)

// Place identifies the two ends of a link.
type Place int

const (
	// Callers is the link between callers and one gateway.
	Callers Place = iota
	// Servers is the link between all gateways and one server.
	Servers
	// Store is the link between one gateway and the store.
	Store
	// Peers is the link through which the other gateways connect to one gateway.
	Peers

	placeCount = int(Peers) + 1
)

// Config is the size of a plan.
type Config struct {
	// Length is the time by which all faults have ended.
	Length time.Duration
	// Gateways and Servers are the numbers of processes.
	Gateways, Servers int
	// Statements adds the kinds of faults in which servers state something in their
	// responses. Without it, seeds give the same plans as before these were added.
	Statements bool
}

// kinds returns the number of kinds of faults to draw from.
func (cfg Config) kinds() int {
	if cfg.Statements {
		return kindCountStatements
	}
	return kindCount
}

const (
	// meanInterval is the mean time between the starts of two faults or series.
	meanInterval = 600 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault.
	minDuration = 100 * time.Millisecond
	maxDuration = 4 * time.Second
	// seriesShare is the probability that a fault is the first of a series.
	seriesShare = 0.3
	// maxSeries is the maximum number of faults in a series.
	maxSeries = 4
	// killInterval is the time between two rounds of kills of NewKillsPlan.
	killInterval = 1500 * time.Millisecond
	// stopInterval is the time between two rounds of stops of NewStopsPlan, and stopKillShare
	// the probability that a gateway is killed instead.
	stopInterval  = 2 * time.Second
	stopKillShare = 0.3
	// maxSeriesGap is the maximum time between two faults of a series.
	maxSeriesGap = time.Second
)

// Step is one fault of a plan.
type Step struct {
	// At is when the fault begins, relative to the start of the plan, and For is
	// its duration.
	At, For time.Duration
	// Kind is the kind of fault.
	Kind Kind
	// Place is the link concerned, if Kind is a fault of links.
	Place Place
	// Target is the index of the gateway or server concerned.
	Target int
}

// End returns when the fault ends, relative to the start of the plan.
func (s Step) End() time.Duration {
	return s.At + s.For
}

// String returns a one-line description.
func (s Step) String() string {
	name := s.Kind.String()
	if s.Kind.OnLink() {
		name += " " + s.Place.String()
	}
	return fmt.Sprintf("%v+%v %s %d", s.At, s.For, name, s.Target)
}

// OnLink reports whether k is a fault of links.
func (k Kind) OnLink() bool {
	return k >= LinkDelayed && k <= LinkRefused
}

// OnServer reports whether k is a fault of server processes.
func (k Kind) OnServer() bool {
	return k >= ServerKilled && k <= ServerMisreporting || k >= ServerStatedLeaving && k <= ServerRefusing
}

// Interrupts reports whether k is a fault that stops or suspends a gateway process.
func (k Kind) Interrupts() bool {
	return k >= GatewayKilled && k <= GatewayStoppedTwice
}

// OnStore reports whether k is a fault of the store.
func (k Kind) OnStore() bool {
	return k >= StoreDown && k <= StoreFrozen
}

// Plan is a fault schedule. Its steps are sorted by At and may overlap.
type Plan struct {
	Seed  uint64
	Steps []Step
}

// NewPlan generates a random plan. Equal configurations and seeds give equal
// plans.
func NewPlan(cfg Config, seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	plan := Plan{Seed: seed}
	for at := drawInterval(rng); at < cfg.Length; at += drawInterval(rng) {
		plan.Steps = append(plan.Steps, drawSeries(cfg, rng, at)...)
	}
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// NewKillsPlan generates a plan in which all servers but one refuse most requests, while all
// gateways but one are killed again and again.
func NewKillsPlan(cfg Config, seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	plan := Plan{Seed: seed}
	for target := 1; target < cfg.Servers; target++ {
		plan.Steps = append(plan.Steps, Step{For: cfg.Length, Kind: ServerRefusing, Target: target})
	}
	for at := killInterval; at+killInterval <= cfg.Length; at += killInterval {
		spared := rng.IntN(cfg.Gateways)
		for target := range cfg.Gateways {
			if target != spared {
				plan.Steps = append(plan.Steps, Step{At: at, For: minDuration, Kind: GatewayKilled, Target: target})
			}
		}
	}
	return plan
}

// NewStopsPlan generates a plan in which all gateways but one are stopped together again and
// again; at random, one is killed instead. Each round begins while the one before it may last.
func NewStopsPlan(cfg Config, seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	plan := Plan{Seed: seed}
	for at := stopInterval / 2; at+stopInterval <= cfg.Length; at += stopInterval {
		spared := rng.IntN(cfg.Gateways)
		for target := range cfg.Gateways {
			step := Step{At: at, For: minDuration, Kind: GatewayStopped, Target: target}
			if rng.Float64() < stopKillShare {
				step.Kind = GatewayKilled
			}
			if target != spared {
				plan.Steps = append(plan.Steps, step)
			}
		}
	}
	return plan
}

func drawInterval(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanInterval))
}

// drawSeries draws one fault, or a series of faults of one kind at one target.
func drawSeries(cfg Config, rng *rand.Rand, at time.Duration) []Step {
	step := Step{Kind: Kind(rng.IntN(cfg.kinds())), Place: Place(rng.IntN(placeCount))}
	step.Target = rng.IntN(step.targetCount(cfg))
	n := 1
	if rng.Float64() < seriesShare {
		n += 1 + rng.IntN(maxSeries-1)
	}
	var steps []Step
	for range n {
		step.At = at
		step.For = minDuration + time.Duration(rng.Float64()*rng.Float64()*float64(maxDuration-minDuration))
		step.For = min(step.For, cfg.Length-at)
		if step.For <= 0 {
			break
		}
		steps = append(steps, step)
		at = step.End() + time.Duration(rng.Float64()*float64(maxSeriesGap))
	}
	return steps
}

// targetCount returns the number of possible targets of the step.
func (s Step) targetCount(cfg Config) int {
	if s.Kind.OnServer() || s.Kind.OnLink() && s.Place == Servers {
		return cfg.Servers
	}
	return cfg.Gateways
}
