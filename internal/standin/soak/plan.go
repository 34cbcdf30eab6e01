// Package soak plans random faults for a small system of real processes, and
// judges from what callers and servers saw whether the system kept its promises.
// It does no I/O: whoever runs the processes carries a plan out and brings what
// was seen.
//
// # Usage
//
//	plan := soak.NewPlan(soak.Config{Length: 10 * time.Second, Gateways: 3, Servers: 5}, seed)
//	for _, step := range plan.Steps {
//		// at step.At, begin the fault; after step.For, end it
//	}
//	for _, v := range soak.Judge(history, promise) {
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

// Kind is a kind of fault, or something that an operator does.
type Kind int

const (
	// GatewayKilled kills a gateway, which starts again at the end.
	GatewayKilled Kind = iota
	// GatewayFrozen pauses a gateway.
	GatewayFrozen
	// GatewayStopped stops a gateway gracefully and starts it again.
	GatewayStopped
	// GatewayCut stops a gateway and sends the signal again before it has ended.
	GatewayCut
	// GatewayReloaded has a gateway read its settings again.
	GatewayReloaded
	// GatewayMisread has a gateway read settings that are not valid.
	GatewayMisread
	// ServerKilled kills a server, which starts again at the end.
	ServerKilled
	// ServerFrozen pauses a server.
	ServerFrozen
	// ServerSlow multiplies the working times of a server.
	ServerSlow
	// ServerFailing has a server answer 500 at once.
	ServerFailing
	// ServerDraining has a server say that it leaves, and refuse requests.
	ServerDraining
	// ServerMisreporting has a server report that it is idle whatever it does.
	ServerMisreporting
	// LinkDelayed delays the bytes of a link.
	LinkDelayed
	// LinkReset resets the connections of a link.
	LinkReset
	// LinkHeldUp keeps back what callers of a link send.
	LinkHeldUp
	// LinkHeldDown keeps back the answers on a link.
	LinkHeldDown
	// LinkSilent makes the open connections of a link silent for good.
	LinkSilent
	// LinkRefused refuses new connections of a link.
	LinkRefused
	// StoreDown has the store refuse every call.
	StoreDown
	// StoreSlow delays the answers of the store.
	StoreSlow
	// StoreLosesAnswers has the store take writes without an answer.
	StoreLosesAnswers
	// StoreSilent keeps the watches of the store silent.
	StoreSilent
	// StoreLimited has the store refuse calls above a low rate.
	StoreLimited
	// StoreFrozen pauses the store.
	StoreFrozen
	// RulesChanged has an operator add a rule.
	RulesChanged

	kinds = int(RulesChanged) + 1
)

// Place says between whom a link lies.
type Place int

const (
	// Callers is the link between callers and one gateway.
	Callers Place = iota
	// Servers is the link between all gateways and one server.
	Servers
	// Store is the link between one gateway and the store.
	Store
	// Peers is the link over which other gateways reach one gateway.
	Peers

	places = int(Peers) + 1
)

// Config says what a plan is for.
type Config struct {
	// Length is the time by which the last fault has ended.
	Length time.Duration
	// Gateways and Servers are the numbers of processes.
	Gateways, Servers int
}

const (
	// meanPause is the mean time from one fault, or series of faults, to the next.
	meanPause = 600 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts.
	minFault = 100 * time.Millisecond
	maxFault = 4 * time.Second
	// seriesShare is how many of the faults come in series.
	seriesShare = 0.3
	// maxSeries is the longest series, in faults.
	maxSeries = 4
	// maxGap is the longest pause inside a series.
	maxGap = time.Second
)

// Step is one fault.
type Step struct {
	// At is when it begins, from the start, and For how long it lasts.
	At, For time.Duration
	// Kind says what happens.
	Kind Kind
	// Place is the link of a fault of links.
	Place Place
	// Target is the number of the gateway or server concerned.
	Target int
}

// End returns when the step ends, from the start.
func (s Step) End() time.Duration {
	return s.At + s.For
}

// String returns the step as one short line.
func (s Step) String() string {
	name := s.Kind.String()
	if s.Kind.OnLink() {
		name += " " + s.Place.String()
	}
	return fmt.Sprintf("%v+%v %s %d", s.At, s.For, name, s.Target)
}

// OnLink reports whether faults of this kind concern a link.
func (k Kind) OnLink() bool {
	return k >= LinkDelayed && k <= LinkRefused
}

// OnServer reports whether faults of this kind concern a server process.
func (k Kind) OnServer() bool {
	return k >= ServerKilled && k <= ServerMisreporting
}

// OnStore reports whether faults of this kind concern the store.
func (k Kind) OnStore() bool {
	return k >= StoreDown && k <= StoreFrozen
}

// Plan is a list of faults, in the order in which they begin. They overlap.
type Plan struct {
	Seed  uint64
	Steps []Step
}

// NewPlan draws a plan. The same configuration and seed give the same plan.
func NewPlan(cfg Config, seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	plan := Plan{Seed: seed}
	for at := drawPause(rng); at < cfg.Length; at += drawPause(rng) {
		plan.Steps = append(plan.Steps, drawSeries(cfg, rng, at)...)
	}
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func drawPause(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanPause))
}

// drawSeries draws one fault, or several of one kind at one target.
func drawSeries(cfg Config, rng *rand.Rand, at time.Duration) []Step {
	step := Step{Kind: Kind(rng.IntN(kinds)), Place: Place(rng.IntN(places))}
	step.Target = rng.IntN(step.targets(cfg))
	n := 1
	if rng.Float64() < seriesShare {
		n += 1 + rng.IntN(maxSeries-1)
	}
	var steps []Step
	for range n {
		step.At = at
		step.For = minFault + time.Duration(rng.Float64()*rng.Float64()*float64(maxFault-minFault))
		step.For = min(step.For, cfg.Length-at)
		if step.For <= 0 {
			break
		}
		steps = append(steps, step)
		at = step.End() + time.Duration(rng.Float64()*float64(maxGap))
	}
	return steps
}

// targets returns how many targets a step can choose from.
func (s Step) targets(cfg Config) int {
	if s.Kind.OnServer() || s.Kind.OnLink() && s.Place == Servers {
		return cfg.Servers
	}
	return cfg.Gateways
}
