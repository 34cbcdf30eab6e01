package trial

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/load"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// scenario is a course of load and faults.
type scenario struct {
	name string
	// load is the offered work as a share of all slots.
	load float64
	// factors change the load from shares of the duration on.
	factors []factor
	// neighbour slows every server down now and then.
	neighbour server.Neighbour
	// steps are the faults, in order of time.
	steps []step
}

// factor multiplies the load from a share of the duration on.
type factor struct {
	at, factor float64
}

// step is something that happens at a share of the duration.
type step struct {
	at float64
	do func(*system)
}

// scenarios returns all scenarios.
func scenarios() []scenario {
	return []scenario{
		{name: "Steady50", load: 0.50},
		{name: "Steady70", load: 0.70},
		{name: "Steady85", load: 0.85},
		{name: "Steady95", load: 0.95},
		{name: "Surge", load: 0.60, factors: []factor{{0.4, 2.5}, {0.6, 1}}},
		{name: "Stragglers", load: 0.60, steps: []step{{0.2, slowDown(3, 5)}}},
		{name: "Shifting", load: 0.60, neighbour: server.Neighbour{Factor: 4, Busy: 30 * time.Millisecond, Idle: 200 * time.Millisecond}},
		{name: "StaleReports", load: 0.80, steps: []step{{0, staleReports(500 * time.Millisecond)}}},
		{name: "LyingReports", load: 0.80, steps: []step{{0, lie(3)}}},
		{name: "FailFast", load: 0.60, steps: []step{{0.3, failFast(2, true)}, {0.8, failFast(2, false)}}},
		{name: "Drain", load: 0.60, steps: []step{{0.3, drain(4)}, {0.6, leave(4)}}},
		{name: "ColdStart", load: 0.60, steps: []step{{0.3, restart(5, time.Second)}}},
		{name: "ZoneLost", load: 0.55, steps: []step{{0.4, loseZone(2)}, {0.7, leaveZone(2)}}},
		{name: "SilentConnections", load: 0.50, steps: []step{{0.4, silence(3)}}},
		// With the store down the list of servers stays as it was, so that
		// draining shows in answers and reports alone.
		{name: "StoreOutage", load: 0.60, steps: []step{{0.3, drain(4)}}},
	}
}

// scenariosOf returns the scenarios with the given names.
func scenariosOf(wanted []string) ([]scenario, error) {
	return selected("scenario", scenarios(), wanted, func(s scenario) string { return s.name })
}

// phases returns the factors as phases of the load.
func (s scenario) phases(duration time.Duration) []load.Phase {
	var out []load.Phase
	for _, f := range s.factors {
		out = append(out, load.Phase{At: time.Duration(f.at * float64(duration)), Factor: f.factor})
	}
	return out
}

// slowDown multiplies the working times of n servers.
func slowDown(n int, by float64) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			e.server.SetMode(server.Mode{Factor: by})
		}
	}
}

// staleReports makes every server repeat its report for a while.
func staleReports(every time.Duration) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			e.server.SetMode(server.Mode{ReportEvery: every})
		}
	}
}

// lie makes n servers report that they are idle, and n others that they are
// full.
func lie(n int) func(*system) {
	return func(sys *system) {
		idle, full := 0, 8
		for i, e := range sys.first(2 * n) {
			says := &idle
			if i%2 == 1 {
				says = &full
			}
			e.server.SetMode(server.Mode{ReportInFlight: says})
		}
	}
}

// failFast makes n servers answer every request with an error at once.
func failFast(n int, fail bool) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			e.server.SetMode(server.Mode{FailFast: fail})
		}
	}
}

// drain makes n servers refuse new requests and say so.
func drain(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			e.server.SetMode(server.Mode{Draining: true})
		}
	}
}

// leave takes n servers off the list.
func leave(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			e.leaving = true
		}
		sys.announce(time.Now())
	}
}

// restart replaces n servers by new ones that are cold.
func restart(n int, cold time.Duration) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			e.server.Restart(cold)
			e.incarnation++
		}
		sys.announce(time.Now())
	}
}

// loseZone ends all servers of a zone.
func loseZone(zone int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			if e.zone == zone {
				// A lost server has nothing left to say.
				_ = e.close()
			}
		}
	}
}

// leaveZone takes all servers of a zone off the list.
func leaveZone(zone int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			e.leaving = e.leaving || e.zone == zone
		}
		sys.announce(time.Now())
	}
}

// silence makes the open connections of n servers go silent.
func silence(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.first(n) {
			for _, l := range e.listeners {
				l.Silence()
			}
		}
	}
}
