package bench

import (
	"math/rand/v2"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Policy -output=policy_string.go

// Policy selects how a Chooser ranks the servers that may take an attempt.
type Policy int

const (
	// Default is PreferredSpill, which gave the best results in the comparison in
	// docs/MEASUREMENTS.md.
	Default Policy = iota
	// RoundRobin takes the servers in turn, ordered by name.
	RoundRobin
	// TwoChoices takes the one of two random servers that has fewer of this
	// gateway's attempts in flight.
	TwoChoices
	// HotCold ranks servers by their estimated load, from the requests in flight
	// that they report, and by latency and errors.
	HotCold
	// PreferredSpill takes the slots that are assigned to this gateway while they
	// are free, and otherwise ranks like HotCold.
	PreferredSpill
)

// Reasons of choices, as logged.
const (
	reasonRoundRobin = "RoundRobin"
	reasonTwoChoices = "TwoChoices"
	reasonCold       = "Cold"
	reasonHot        = "Hot"
	reasonPreferred  = "Preferred"
	reasonSpill      = "Spill"
)

// selectServer picks one of the candidates, of which there is at least one, and
// returns the reason.
func (c *Chooser) selectServer(now time.Time, rng *rand.Rand, zone string) (*server, string) {
	switch c.cfg.Policy {
	case RoundRobin:
		return c.pickRoundRobin(), reasonRoundRobin
	case TwoChoices:
		return c.pickTwoChoices(rng, zone), reasonTwoChoices
	case PreferredSpill:
		if s := c.pickPreferred(now, rng, zone); s != nil {
			return s, reasonPreferred
		}
		s, _ := c.pickByLoad(now, rng, zone)
		return s, reasonSpill
	default:
		s, hot := c.pickByLoad(now, rng, zone)
		if hot {
			return s, reasonHot
		}
		return s, reasonCold
	}
}

// pickRoundRobin returns the candidate that follows the last pick in the order of
// names.
func (c *Chooser) pickRoundRobin() *server {
	for _, s := range c.candidates {
		if s.Name > c.lastPicked {
			c.lastPicked = s.Name
			return s
		}
	}
	c.lastPicked = c.candidates[0].Name
	return c.candidates[0]
}

// pickTwoChoices returns the better of two random candidates.
func (c *Chooser) pickTwoChoices(rng *rand.Rand, zone string) *server {
	s := c.candidates[rng.IntN(len(c.candidates))]
	other := c.candidates[rng.IntN(len(c.candidates))]
	if other.inFlight < s.inFlight {
		return other
	}
	if other.inFlight == s.inFlight && other.Zone == zone {
		return other
	}
	return s
}

// pickPreferred returns the candidate with the best score among those with a free
// slot assigned to this gateway, or nil. It skips degraded servers, and servers
// without a free slot because other gateways use more slots than are assigned to
// them.
func (c *Chooser) pickPreferred(now time.Time, rng *rand.Rand, zone string) *server {
	sel := newSelection(rng, zone)
	for _, s := range c.candidates {
		otherLoad, weight := c.reportedLoad(now, s)
		saturated := float64(s.inFlight)+weight*otherLoad > float64(s.slots())-loadWeight
		if s.inFlight >= s.assignedSlots || saturated || c.degraded(now, s) {
			continue
		}
		sel.offer(s, c.score(now, s))
	}
	return sel.best
}

// pickByLoad returns the candidate with the best score, and whether it is hot,
// which means that all its slots are estimated to be in use.
func (c *Chooser) pickByLoad(now time.Time, rng *rand.Rand, zone string) (*server, bool) {
	sel := newSelection(rng, zone)
	for _, s := range c.candidates {
		sel.offer(s, c.score(now, s))
	}
	return sel.best, c.estimatedLoad(now, sel.best) >= float64(sel.best.slots())
}

// selection keeps the server with the lowest score. Among equal scores it prefers
// the gateway's zone, and breaks remaining ties uniformly at random.
type selection struct {
	rng   *rand.Rand
	zone  string
	best  *server
	score float64
	ties  int
}

func newSelection(rng *rand.Rand, zone string) selection {
	return selection{rng: rng, zone: zone}
}

// offer adds a server to the selection.
func (sel *selection) offer(s *server, score float64) {
	better := sel.best == nil || score < sel.score
	if !better && score > sel.score {
		return
	}
	local, bestLocal := s.Zone == sel.zone, sel.best != nil && sel.best.Zone == sel.zone
	switch {
	case better || (local && !bestLocal):
		sel.best, sel.score, sel.ties = s, score, 1
	case local == bestLocal:
		sel.ties++
		if sel.rng.IntN(sel.ties) == 0 {
			sel.best = s
		}
	}
}
