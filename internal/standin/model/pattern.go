package model

import (
	"slices"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=TroubleKind -output=troublekind_string.go

// TroubleKind is a kind of fault.
type TroubleKind int

const (
	// Burst multiplies the arrival rate of requests by Factor.
	Burst TroubleKind = iota
	// Slow multiplies the service time of the affected servers by Factor. Their load
	// reports do not show it.
	Slow
	// Dark makes the affected servers unresponsive: they accept requests and never
	// reply. At the end of the fault they restart.
	Dark
	// Failing makes the affected servers fail a random share, Factor, of their
	// requests at once, while they still reply to load queries.
	Failing
	// Shedding makes the affected servers shed every request, while they still reply
	// to load queries.
	Shedding
	// Restart restarts the affected servers one after another, evenly spread over
	// the duration of the fault.
	Restart
)

// Fault is a server fault or a traffic burst of limited duration.
type Fault struct {
	Kind TroubleKind
	// Start is when the fault begins, from the start of the run, and Duration how
	// long it lasts.
	Start    time.Duration
	Duration time.Duration
	// Share is the share of the servers that are affected.
	Share float64
	// Factor is the strength of the fault, as described at its kind.
	Factor float64
}

// Pattern is a load pattern: the size of a simulated system, its load and its faults.
type Pattern struct {
	// Name identifies the pattern in reports.
	Name string
	// Description says which situation the pattern covers.
	Description string
	// Duration is the time during which new requests arrive.
	Duration time.Duration
	// Gateways is the number of gateways.
	Gateways int
	// MaxQueryRate limits the load queries that one server gets from all gateways,
	// per second.
	MaxQueryRate float64
	Servers      Servers
	Network      Network
	Callers      Callers
	// Demand divides the arrivals among the zones.
	Demand Demand
	// Load multiplies the arrival rates of all request classes.
	Load   float64
	Faults []Fault
}

// loadFactor returns the multiplier of all arrival rates at a time of the run.
func (p Pattern) loadFactor(at time.Duration) float64 {
	factor := p.Load
	for _, f := range p.Faults {
		if f.Kind == Burst && at >= f.Start && at < f.Start+f.Duration {
			factor *= f.Factor
		}
	}
	return factor
}

// scheduleFault schedules the start and the end of a server fault. The affected
// servers are drawn at random; equal seeds affect the same servers.
func (sim *simulation) scheduleFault(f Fault) {
	if f.Kind == Burst {
		return
	}
	affected := slices.Clone(sim.servers)
	sim.noise.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	affected = affected[:int(f.Share*float64(len(affected))+0.5)]
	for i, s := range affected {
		if f.Kind == Restart {
			sim.loop.schedule(epoch.Add(f.Start+f.Duration*time.Duration(i)/time.Duration(len(affected))), s.restart)
			continue
		}
		sim.loop.schedule(epoch.Add(f.Start), func() { s.update(func() { s.applyFault(f) }) })
		sim.loop.schedule(epoch.Add(f.Start+f.Duration), func() { s.clearFault(f) })
	}
}

// applyFault starts a fault of the server.
func (s *server) applyFault(f Fault) {
	switch f.Kind {
	case Slow:
		s.slowFactor = f.Factor
	case Dark:
		s.unresponsive = true
	case Failing:
		s.failureRate = f.Factor
	case Shedding:
		s.shedding = true
	case Burst, Restart:
	}
}

// clearFault ends a fault of the server.
func (s *server) clearFault(f Fault) {
	if f.Kind == Dark {
		s.restart()
		return
	}
	s.update(func() { s.slowFactor, s.failureRate, s.shedding = 1, 0, false })
}

// basePattern returns a pattern with the default system and workload, those of a booking
// service whose users browse rosters (Browse) and book machines (Book).
func basePattern(name, description string, load float64, faults ...Fault) Pattern {
	return Pattern{
		Name: name, Description: description, Duration: 30 * time.Second, Gateways: 13, MaxQueryRate: 60,
		Servers: Servers{
			Count: 22, Slots: 2, QueueLength: 4, OnFull: Reset, Knee: 0.8, KneeFactor: 1.7,
			NoiseShare: 0.35, NoiseFactor: 4, NoiseInterval: 300 * time.Millisecond,
			ColdPeriod: 3 * time.Second, ColdFactor: 2,
		},
		Network: Network{WithinZone: 100 * time.Microsecond, CrossZone: 500 * time.Microsecond},
		Callers: Callers{
			Retries: 1,
			Classes: []RequestClass{
				{
					Name: "Browse", Rate: 54, Work: 120 * time.Millisecond, Deviation: 0.3, Target: 300 * time.Millisecond,
					Deadline: time.Second, Value: 1, LateValue: 0.1, Priority: 2, Idempotent: true,
				},
				{
					Name: "Book", Rate: 22, Work: 160 * time.Millisecond, Deviation: 0.3, Target: 400 * time.Millisecond,
					Deadline: 1200 * time.Millisecond, Value: 2, LateValue: 0.2, Priority: 1,
				},
			},
		},
		Load: load, Faults: faults,
	}
}

// The start and the duration of the fault in every pattern that has one.
const (
	faultStart    = 8 * time.Second
	faultDuration = 8 * time.Second
)

// Patterns returns the patterns in which policies are compared.
func Patterns() []Pattern {
	fault := func(kind TroubleKind, share, factor float64) Fault {
		return Fault{Kind: kind, Start: faultStart, Duration: faultDuration, Share: share, Factor: factor}
	}
	hang := basePattern("FullServersHang", "a traffic burst; servers never reply when full", 1, fault(Burst, 0, 2.5))
	hang.Servers.OnFull = Hang
	shed := basePattern("FullServersShed", "a traffic burst; servers shed requests when full", 1, fault(Burst, 0, 2.5))
	shed.Servers.OnFull = Shed
	wide := basePattern("ManySlots", "a traffic burst at few servers with many slots each", 1, fault(Burst, 0, 2.5))
	wide.Servers.Count, wide.Servers.Slots = 6, 8
	few := basePattern("FewQuestions", "a high load with a low limit on load queries", 1.5)
	few.MaxQueryRate = 8
	return []Pattern{
		basePattern("Calm", "the normal load", 1),
		basePattern("High", "a load close to the capacity of the servers", 1.7),
		basePattern("Surge", "a traffic burst of two and a half times the normal load for eight seconds", 1, fault(Burst, 0, 2.5)),
		hang, shed, wide, few,
		basePattern("SlowServers", "a sixth of the servers take five times as long without reporting it", 1.2, fault(Slow, 0.16, 5)),
		basePattern("DarkServers", "a sixth of the servers accept requests and never reply", 1.2, fault(Dark, 0.16, 0)),
		basePattern("FailingServers", "a sixth of the servers fail most requests but reply to load queries", 1.2, fault(Failing, 0.16, 0.8)),
		basePattern("SheddingServers", "half of the servers shed every request but reply to load queries", 1, fault(Shedding, 0.5, 0)),
		basePattern("Release", "a rolling restart of half of the servers", 1.2, fault(Restart, 0.5, 0)),
	}
}
