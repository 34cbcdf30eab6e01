package trial

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/load"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// scenario is a load profile with a schedule of faults.
type scenario struct {
	name string
	// utilization is the offered load relative to the capacity of all slots.
	utilization float64
	// loadChanges change the offered load during the run, in order of time.
	loadChanges []loadChange
	// neighbor is the noisy neighbor of every server; the zero value is none.
	neighbor server.NoisyNeighbor
	// faults are the faults to inject, in order of time.
	faults []fault
}

// loadChange sets the offered load to factor times that of the scenario from a point in
// the run on; at is a fraction of the run's duration.
type loadChange struct {
	at, factor float64
}

// fault is a fault, or another change of the system, that is injected at a point in
// the run; at is a fraction of the run's duration.
type fault struct {
	at     float64
	inject func(*system)
}

// scenarios returns all scenarios.
func scenarios() []scenario {
	return []scenario{
		{name: "Steady50", utilization: 0.50},
		{name: "Steady70", utilization: 0.70},
		{name: "Steady85", utilization: 0.85},
		{name: "Steady95", utilization: 0.95},
		{name: "Surge", utilization: 0.60, loadChanges: []loadChange{{0.4, 2.5}, {0.6, 1}}},
		{name: "Stragglers", utilization: 0.60, faults: []fault{{0.2, slowDown(3, 5)}}},
		{name: "Shifting", utilization: 0.60, neighbor: server.NoisyNeighbor{Factor: 4, Busy: 30 * time.Millisecond, Idle: 200 * time.Millisecond}},
		{name: "StaleReports", utilization: 0.80, faults: []fault{{0, setReportInterval(500 * time.Millisecond)}}},
		{name: "LyingReports", utilization: 0.80, faults: []fault{{0, misreport(3)}}},
		{name: "FailFast", utilization: 0.60, faults: []fault{{0.3, failFast(2, true)}, {0.8, failFast(2, false)}}},
		{name: "Drain", utilization: 0.60, faults: []fault{{0.3, drain(4)}, {0.6, markLeaving(4)}}},
		{name: "ColdStart", utilization: 0.60, faults: []fault{{0.3, restart(5, time.Second)}}},
		{name: "ZoneLost", utilization: 0.55, faults: []fault{{0.4, stopZone(2)}, {0.7, markZoneLeaving(2)}}},
		{name: "SilentConnections", utilization: 0.50, faults: []fault{{0.4, silenceConnections(3)}}},
		// The list of servers is not updated during an outage of the store, so that
		// gateways learn of draining servers from responses and load reports alone.
		{name: "StoreOutage", utilization: 0.60, faults: []fault{{0.3, drain(4)}}},
	}
}

// scenariosByName returns the scenarios with the given names.
func scenariosByName(names []string) ([]scenario, error) {
	return selectByName("scenario", scenarios(), names, func(s scenario) string { return s.name })
}

// phases returns the load changes of a run as phases of the load generator.
func (s scenario) phases(duration time.Duration) []load.Phase {
	var phases []load.Phase
	for _, c := range s.loadChanges {
		phases = append(phases, load.Phase{At: time.Duration(c.at * float64(duration)), Factor: c.factor})
	}
	return phases
}

// slowDown multiplies the service times of n servers.
func slowDown(n int, factor float64) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			e.server.SetMode(server.Mode{Factor: factor})
		}
	}
}

// setReportInterval makes every server update its load report only once per interval.
func setReportInterval(interval time.Duration) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			e.server.SetMode(server.Mode{ReportEvery: interval})
		}
	}
}

// misreport makes n servers report that they are idle, and n others that they are
// overloaded, regardless of their load.
func misreport(n int) func(*system) {
	return func(sys *system) {
		idle, overloaded := 0, 8
		for i, e := range sys.firstEndpoints(2 * n) {
			inFlight := &idle
			if i%2 == 1 {
				inFlight = &overloaded
			}
			e.server.SetMode(server.Mode{ReportInFlight: inFlight})
		}
	}
}

// failFast sets whether n servers respond to every request with an error at once.
func failFast(n int, fail bool) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			e.server.SetMode(server.Mode{FailFast: fail})
		}
	}
}

// drain makes n servers refuse new requests and report that they are draining.
func drain(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			e.server.SetMode(server.Mode{Draining: true})
		}
	}
}

// markLeaving marks n servers as leaving in the list of servers.
func markLeaving(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			e.leaving = true
		}
		sys.publishServers(time.Now())
	}
}

// restart simulates the restart of n servers: they become new incarnations that begin with
// a cold start, but their running requests continue.
func restart(n int, coldStart time.Duration) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			e.server.BeginColdStart(coldStart)
			e.incarnation++
		}
		sys.publishServers(time.Now())
	}
}

// stopZone stops all servers of a zone abruptly.
func stopZone(zone int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			if e.zone == zone {
				// The servers are meant to fail, so an error does not matter.
				_ = e.close()
			}
		}
	}
}

// markZoneLeaving marks all servers of a zone as leaving in the list of servers.
func markZoneLeaving(zone int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.endpoints {
			e.leaving = e.leaving || e.zone == zone
		}
		sys.publishServers(time.Now())
	}
}

// silenceConnections makes the open connections of n servers stop carrying data
// without being closed.
func silenceConnections(n int) func(*system) {
	return func(sys *system) {
		for _, e := range sys.firstEndpoints(n) {
			for _, l := range e.listeners {
				l.Silence()
			}
		}
	}
}
