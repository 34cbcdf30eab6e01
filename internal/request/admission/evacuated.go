package admission

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// evacuatedRetryAfter is the least Retry-After of a call that is refused because all
// servers of its service are in evacuated zones. Operators take an evacuation back in their
// own time, so that sooner attempts would be refused too.
const evacuatedRetryAfter = 2 * time.Second

// withoutEvacuated returns the servers that are not in an evacuated zone. Those that are
// get no request of any kind, so that the chooser is not told about them.
func withoutEvacuated(servers []mustardsaddle.Server) []mustardsaddle.Server {
	return slices.DeleteFunc(servers, func(s mustardsaddle.Server) bool { return s.Evacuated })
}

// evacuated reports whether no server of the service may get a request, and some because
// their zones are evacuated. The caller holds mu.
func (c *Controller) evacuated() bool {
	return c.usable == 0 && slices.ContainsFunc(c.listed, func(s mustardsaddle.Server) bool { return s.Evacuated })
}

// refuseEvacuated returns the refusal of a call whose service is evacuated. The caller holds
// mu.
func (c *Controller) refuseEvacuated() *refusal.Refusal {
	delay := float64(evacuatedRetryAfter) * (1 + c.rng.Float64()*retrySpread)
	return &refusal.Refusal{Code: code.CallEvacuated, Outcome: mustardsaddle.NotRun, RetryAfter: time.Duration(delay)}
}

// endAllWaits ends the wait of all queued calls. The caller holds mu.
func (c *Controller) endAllWaits() {
	for id, queued := range c.waiting {
		c.queue.Remove(id)
		close(queued.assigned)
		delete(c.waiting, id)
	}
}

// EvacuatedInFlight returns the number of attempts of this gateway that run in each
// evacuated zone.
func (cs *Controllers) EvacuatedInFlight() map[string]int {
	inFlight := make(map[string]int)
	for _, c := range cs.all() {
		c.addEvacuatedInFlight(inFlight)
	}
	return inFlight
}

func (c *Controller) addEvacuatedInFlight(inFlight map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.listed {
		if s.Evacuated {
			inFlight[s.Zone] += c.limits.InFlight(s.Name)
		}
	}
}
