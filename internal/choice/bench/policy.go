package bench

import (
	"math/rand/v2"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Policy -output=policy_string.go

// Policy selects how a Bench ranks the servers that may take an attempt.
type Policy int

const (
	// Default is the policy that won the comparison in docs/MEASUREMENTS.md.
	Default Policy = iota
	// RoundRobin takes the servers in turn.
	RoundRobin
	// TwoChoices takes the one of two random servers that has fewer of this
	// gateway's own attempts in flight.
	TwoChoices
	// HotCold ranks by the requests in flight that the servers report, then by
	// latency.
	HotCold
	// PreferredSpill takes the slots that are assigned to this gateway while
	// they are free, and ranks like HotCold when they are not.
	PreferredSpill
)

// Reasons of choices, for the log.
const (
	reasonRoundRobin = "RoundRobin"
	reasonTwoChoices = "TwoChoices"
	reasonCold       = "Cold"
	reasonHot        = "Hot"
	reasonPreferred  = "Preferred"
	reasonSpill      = "Spill"
)

// pick ranks the open servers, of which there is at least one.
func (b *Bench) pick(now time.Time, rng *rand.Rand, zone string) (*server, string) {
	switch b.cfg.Policy {
	case RoundRobin:
		return b.pickInTurn(), reasonRoundRobin
	case TwoChoices:
		return b.pickTwo(rng, zone), reasonTwoChoices
	case PreferredSpill:
		if s := b.pickPreferred(now, rng, zone); s != nil {
			return s, reasonPreferred
		}
		s, _ := b.pickByLoad(now, rng, zone)
		return s, reasonSpill
	default:
		s, hot := b.pickByLoad(now, rng, zone)
		if hot {
			return s, reasonHot
		}
		return s, reasonCold
	}
}

// pickInTurn returns the open server that follows the last one in name order.
func (b *Bench) pickInTurn() *server {
	for _, s := range b.open {
		if s.Name > b.turn {
			b.turn = s.Name
			return s
		}
	}
	b.turn = b.open[0].Name
	return b.open[0]
}

// pickTwo returns the better of two random open servers.
func (b *Bench) pickTwo(rng *rand.Rand, zone string) *server {
	s := b.open[rng.IntN(len(b.open))]
	other := b.open[rng.IntN(len(b.open))]
	if other.inFlight < s.inFlight {
		return other
	}
	if other.inFlight == s.inFlight && other.Zone == zone {
		return other
	}
	return s
}

// pickPreferred returns the open server with a free slot of this gateway's own
// and the best score, or nil. A server whose other load is known to exceed the
// slots of others counts as busy.
func (b *Bench) pickPreferred(now time.Time, rng *rand.Rand, zone string) *server {
	p := newPick(rng, zone)
	for _, s := range b.open {
		others, weight := b.reported(now, s)
		busy := float64(s.inFlight)+weight*others > float64(s.slots())-hotScore
		if s.inFlight >= s.owned || busy || b.slow(now, s) {
			continue
		}
		p.offer(s, b.score(now, s))
	}
	return p.best
}

// pickByLoad returns the open server with the best score, and whether it is
// hot: all its slots are thought to be taken.
func (b *Bench) pickByLoad(now time.Time, rng *rand.Rand, zone string) (*server, bool) {
	p := newPick(rng, zone)
	for _, s := range b.open {
		p.offer(s, b.score(now, s))
	}
	return p.best, b.load(now, p.best) >= float64(p.best.slots())
}

// pick keeps the server with the lowest score. Among equals it prefers the zone
// of the gateway, and then each with the same chance.
type pick struct {
	rng   *rand.Rand
	zone  string
	best  *server
	score float64
	ties  int
}

func newPick(rng *rand.Rand, zone string) pick {
	return pick{rng: rng, zone: zone}
}

// offer considers a server.
func (p *pick) offer(s *server, score float64) {
	better := p.best == nil || score < p.score
	if !better && score > p.score {
		return
	}
	local, bestLocal := s.Zone == p.zone, p.best != nil && p.best.Zone == p.zone
	switch {
	case better || (local && !bestLocal):
		p.best, p.score, p.ties = s, score, 1
	case local == bestLocal:
		p.ties++
		if p.rng.IntN(p.ties) == 0 {
			p.best = s
		}
	}
}
