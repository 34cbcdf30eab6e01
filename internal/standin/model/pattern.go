package model

import (
	"slices"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=TroubleKind -output=troublekind_string.go

// TroubleKind is a kind of trouble.
type TroubleKind int

const (
	// Burst multiplies arrivals by Factor.
	Burst TroubleKind = iota
	// Slow makes work take Factor times as long on a share of the servers, which
	// do not say so.
	Slow
	// Dark makes a share of the servers accept requests and answer nothing; after
	// it they start anew.
	Dark
	// Failing makes a share of the servers fail Factor of their requests at once,
	// while questions are answered.
	Failing
	// Shedding makes a share of the servers shed every request, while questions
	// are answered.
	Shedding
	// Restart starts a share of the servers anew, one after another over the time.
	Restart
)

// Trouble is something that goes wrong for a time.
type Trouble struct {
	Kind TroubleKind
	// At is when it begins, from the start of the run, and For how long it lasts.
	At  time.Duration
	For time.Duration
	// Share is the share of the servers that it meets.
	Share float64
	// Factor is how strong it is.
	Factor float64
}

// Pattern is a system that is served: its size, its load and its troubles.
type Pattern struct {
	// Name names the pattern in reports, About says what it shows.
	Name  string
	About string
	// Duration is the time during which new requests arrive.
	Duration time.Duration
	// Gateways is the number of gateways.
	Gateways int
	// QuestionsPerServer bounds the questions to one server a second.
	QuestionsPerServer float64
	Servers            Servers
	Network            Network
	Callers            Callers
	// Load multiplies the rates of all kinds.
	Load     float64
	Troubles []Trouble
}

// rate returns what the rates of all kinds are multiplied by at a time of the run.
func (p Pattern) rate(at time.Duration) float64 {
	rate := p.Load
	for _, t := range p.Troubles {
		if t.Kind == Burst && at >= t.At && at < t.At+t.For {
			rate *= t.Factor
		}
	}
	return rate
}

// plan plans a trouble. The servers that it meets follow from the seed.
func (w *world) plan(t Trouble) {
	if t.Kind == Burst {
		return
	}
	met := slices.Clone(w.servers)
	w.noise.Shuffle(len(met), func(i, j int) { met[i], met[j] = met[j], met[i] })
	met = met[:int(t.Share*float64(len(met))+0.5)]
	for i, s := range met {
		if t.Kind == Restart {
			w.loop.at(start.Add(t.At+t.For*time.Duration(i)/time.Duration(len(met))), s.start)
			continue
		}
		w.loop.at(start.Add(t.At), func() { s.change(func() { s.meet(t) }) })
		w.loop.at(start.Add(t.At+t.For), func() { s.recover(t) })
	}
}

// meet begins a trouble at a server.
func (s *server) meet(t Trouble) {
	switch t.Kind {
	case Slow:
		s.slow = t.Factor
	case Dark:
		s.dark = true
	case Failing:
		s.failing = t.Factor
	case Shedding:
		s.shedding = true
	case Burst, Restart:
	}
}

// recover ends a trouble at a server.
func (s *server) recover(t Trouble) {
	if t.Kind == Dark {
		s.start()
		return
	}
	s.change(func() { s.slow, s.failing, s.shedding = 1, 0, false })
}

// base is a network of sheds: members browse rosters and book machines.
func base(name, about string, load float64, troubles ...Trouble) Pattern {
	return Pattern{
		Name: name, About: about, Duration: 30 * time.Second, Gateways: 13, QuestionsPerServer: 60,
		Servers: Servers{
			Count: 22, Slots: 2, Queue: 4, OnFull: Reset, Knee: 0.8, KneeFactor: 1.7,
			NoiseShare: 0.35, NoiseFactor: 4, NoiseEvery: 300 * time.Millisecond,
			Cold: 3 * time.Second, ColdFactor: 2,
		},
		Network: Network{Zone: 100 * time.Microsecond, Across: 500 * time.Microsecond},
		Callers: Callers{
			Retries: 1,
			Kinds: []Kind{
				{
					Name: "Browse", PerSecond: 54, Work: 120 * time.Millisecond, Spread: 0.3, Target: 300 * time.Millisecond,
					Deadline: time.Second, Worth: 1, Late: 0.1, Priority: 2, Idempotent: true,
				},
				{
					Name: "Book", PerSecond: 22, Work: 160 * time.Millisecond, Spread: 0.3, Target: 400 * time.Millisecond,
					Deadline: 1200 * time.Millisecond, Worth: 2, Late: 0.2, Priority: 1,
				},
			},
		},
		Load: load, Troubles: troubles,
	}
}

// troubleAt and troubleFor place the trouble of a pattern in its run.
const (
	troubleAt  = 8 * time.Second
	troubleFor = 8 * time.Second
)

// Patterns returns the patterns that are compared.
func Patterns() []Pattern {
	trouble := func(kind TroubleKind, share, factor float64) Trouble {
		return Trouble{Kind: kind, At: troubleAt, For: troubleFor, Share: share, Factor: factor}
	}
	hang := base("FullServersHang", "a surge at servers that hang when they are full", 1, trouble(Burst, 0, 2.5))
	hang.Servers.OnFull = Hang
	shed := base("FullServersShed", "a surge at servers that shed when they are full", 1, trouble(Burst, 0, 2.5))
	shed.Servers.OnFull = Shed
	wide := base("ManySlots", "a surge at few servers of many slots", 1, trouble(Burst, 0, 2.5))
	wide.Servers.Count, wide.Servers.Slots = 6, 8
	few := base("FewQuestions", "a high load where servers may rarely be asked", 1.5)
	few.QuestionsPerServer = 8
	return []Pattern{
		base("Calm", "a usual load", 1),
		base("High", "a load near what the servers can bear", 1.7),
		base("Surge", "two and a half times the usual load for some seconds", 1, trouble(Burst, 0, 2.5)),
		hang, shed, wide, few,
		base("SlowServers", "a sixth of the servers is five times as slow and does not say so", 1.2, trouble(Slow, 0.16, 5)),
		base("DarkServers", "a sixth of the servers accepts requests and answers nothing", 1.2, trouble(Dark, 0.16, 0)),
		base("FailingServers", "a sixth of the servers fails most requests and answers questions", 1.2, trouble(Failing, 0.16, 0.8)),
		base("SheddingServers", "half of the servers sheds every request and answers questions", 1, trouble(Shedding, 0.5, 0)),
		base("Release", "half of the servers starts anew, one after another", 1.2, trouble(Restart, 0.5, 0)),
	}
}
