package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// failedPause is how long a gateway gets no call after it could not be reached or broke
	// off. It doubles with each further failure, up to maxDoublings times.
	failedPause  = 2 * time.Second
	maxDoublings = 3
	// lostPause is how long a gateway gets no call for a service after it said that it
	// cannot reach it.
	lostPause = time.Second
	// maxRefusedPause bounds how long a gateway gets no call for a service after it refused
	// one.
	maxRefusedPause = 2 * time.Second
	// crossZoneCalls is the number of calls in flight that a gateway in another
	// availability zone counts for.
	crossZoneCalls = 1
	// ownPathFailures is the number of gateways silent one after another from which
	// this gateway's own path is the likely cause, for ownPathPause after the last of them.
	ownPathFailures = 3
	ownPathPause    = 2 * time.Second
	// servedMemory is how long a gateway that has served a call of a service is picked before
	// gateways of which it is not known whether they can.
	servedMemory = 2 * time.Second
	// sampledHelpers is the number of gateways of which the one with the fewest calls in
	// flight is picked.
	sampledHelpers = 2
)

// Need describes a call that is to be forwarded to another gateway.
type Need struct {
	// Service is the service of the call.
	Service string
	// Zone is the availability zone of this gateway.
	Zone string
	// Tried holds the names of the gateways that the call was forwarded to before.
	Tried []string
	// Among, if not nil, holds the names of the gateways that may be picked.
	Among []string
}

// Reply is how a gateway dealt with a forwarded call.
type Reply struct {
	// Gateway is the name of the gateway and Service the service of the call.
	Gateway, Service string
	// Failed is true if the gateway could not be reached or broke off.
	Failed bool
	// Silent is true if it failed because nothing was received in time.
	Silent bool
	// Served is true if it delivered a server's response.
	Served bool
	// Lost is true if the gateway cannot reach the service.
	Lost bool
	// RetryAfter is the time after which the gateway may take a call of the service again.
	RetryAfter time.Duration
}

// Helpers picks the gateway to which a call is forwarded. It is a deterministic state
// machine: time and the random source are arguments. The caller must serialize access to
// it.
type Helpers struct {
	self     mustardsaddle.VM
	gateways []mustardsaddle.VM
	states   map[string]*helperState
	table    *Table
	// silent holds the gateways that have been silent since any of them last replied, the
	// last of them at silentAt.
	silent   map[string]bool
	silentAt time.Time
}

// helperState is what this gateway knows about one helper.
type helperState struct {
	inFlight    int
	pausedUntil time.Time
	// failures counts the consecutive failures, up to maxDoublings.
	failures int
	// services holds, by service, the end of the pause for that service alone, and servedAt
	// when the gateway last served a call.
	services, servedAt map[string]time.Time
}

// served reports whether the gateway has served a call of a service within servedMemory.
func (s *helperState) served(now time.Time, service string) bool {
	at, known := s.servedAt[service]
	return known && now.Sub(at) < servedMemory
}

// NewHelpers returns Helpers without gateways. The table has what they state.
func NewHelpers(self mustardsaddle.VM, table *Table) *Helpers {
	return &Helpers{self: self, states: make(map[string]*helperState), table: table, silent: make(map[string]bool)}
}

// SetFleet replaces the gateways of the fleet. Those that are leaving get no call.
func (h *Helpers) SetFleet(gateways []mustardsaddle.VM) {
	h.gateways = h.gateways[:0]
	states := make(map[string]*helperState, len(gateways))
	for _, g := range gateways {
		if g.Name == h.self.Name || g.Leaving || g.Peer == "" {
			continue
		}
		s := h.states[g.Name]
		if s == nil {
			s = &helperState{services: make(map[string]time.Time), servedAt: make(map[string]time.Time)}
		}
		states[g.Name] = s
		h.gateways = append(h.gateways, g)
	}
	h.states = states
}

// Pick returns the gateway that gets the call, and counts the call as in flight there. It
// returns false if no gateway may get it.
func (h *Helpers) Pick(now time.Time, rng *rand.Rand, need Need) (mustardsaddle.VM, bool) {
	candidates := h.candidates(now, need)
	if len(candidates) == 0 {
		return mustardsaddle.VM{}, false
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = h.preferServed(now, need.Service, candidates)
	best := candidates[0]
	for _, g := range candidates[:min(sampledHelpers, len(candidates))] {
		if h.cost(g, need.Zone) < h.cost(best, need.Zone) {
			best = g
		}
	}
	h.states[best.Name].inFlight++
	return best, true
}

// preferServed returns the gateways that have recently served a call of the service, or all
// if there are none.
func (h *Helpers) preferServed(now time.Time, service string, gateways []mustardsaddle.VM) []mustardsaddle.VM {
	var served []mustardsaddle.VM
	for _, g := range gateways {
		if h.states[g.Name].served(now, service) {
			served = append(served, g)
		}
	}
	if len(served) > 0 {
		return served
	}
	return gateways
}

// Available reports whether any gateway may get the call.
func (h *Helpers) Available(now time.Time, need Need) bool {
	return len(h.candidates(now, need)) > 0
}

// candidates returns the gateways that may get the call.
func (h *Helpers) candidates(now time.Time, need Need) []mustardsaddle.VM {
	var candidates []mustardsaddle.VM
	for _, g := range h.gateways {
		s := h.states[g.Name]
		if now.Before(s.pausedUntil) || now.Before(s.services[need.Service]) || slices.Contains(need.Tried, g.Name) {
			continue
		}
		if need.Among != nil && !slices.Contains(need.Among, g.Name) {
			continue
		}
		if !h.table.Lost(now, g, need.Service) {
			candidates = append(candidates, g)
		}
	}
	return candidates
}

// cost returns the number of calls in flight at a gateway, plus a surcharge if it is in
// another availability zone.
func (h *Helpers) cost(g mustardsaddle.VM, zone string) int {
	calls := h.states[g.Name].inFlight
	if g.Zone != zone {
		calls += crossZoneCalls
	}
	return calls
}

// Finish records the end of a call that Pick has counted.
func (h *Helpers) Finish(now time.Time, r Reply) {
	s := h.states[r.Gateway]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	h.recordPath(now, r)
	switch {
	case r.Failed:
		s.pausedUntil = now.Add(failedPause << s.failures)
		s.failures = min(s.failures+1, maxDoublings)
		return
	case r.Lost:
		s.services[r.Service] = now.Add(lostPause)
		delete(s.servedAt, r.Service)
	case r.RetryAfter > 0:
		s.services[r.Service] = now.Add(min(r.RetryAfter, maxRefusedPause))
	case r.Served:
		s.servedAt[r.Service] = now
	}
	s.failures = 0
}

// recordPath records what a reply shows about this gateway's own path. A gateway that has
// ended refuses connections, which shows nothing, and neither does a caller that has left.
func (h *Helpers) recordPath(now time.Time, r Reply) {
	switch {
	case r.Failed && r.Silent:
		h.silent[r.Gateway], h.silentAt = true, now
	case r.Served, r.Lost, r.RetryAfter > 0:
		clear(h.silent)
	}
}

// OwnPathFails reports whether several gateways have been silent one after another: this
// gateway then is slow or cut off itself, and calls gain nothing from being forwarded.
func (h *Helpers) OwnPathFails(now time.Time) bool {
	return len(h.silent) >= min(ownPathFailures, len(h.gateways)) && now.Sub(h.silentAt) < ownPathPause
}

// InFlight returns the number of forwarded calls in flight.
func (h *Helpers) InFlight() int {
	n := 0
	for _, s := range h.states {
		n += s.inFlight
	}
	return n
}
