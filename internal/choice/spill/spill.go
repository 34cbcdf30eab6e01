// Package spill decides when a call leaves its availability zone, and for which other
// zone. It weighs the expected time of the call in its own zone against that in each other
// zone plus a price, and turns the difference into the share of the calls that leave.
//
// The share rises linearly with the difference, so that no small change of the load moves
// all calls of a zone at once. What is known of another zone comes from the load queries
// that calls send there, and fades: a zone that was not asked for a while counts as idle,
// and is asked again as soon as leaving for an idle zone pays.
//
// # Usage
//
//	b := spill.New(spill.Config{Price: 30 * time.Millisecond})
//	d := b.Decide(now, rng, spill.Call{Own: spill.Own{Time: slow}, Work: work, Zones: zones})
//	if d.Zone != "" {
//		... // query servers of d.Zone, and call b.Observe with the best expected time found
//	}
//
// A Balance is a deterministic state machine: time and the random source are arguments.
// The caller must serialize access to it.
package spill

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// fullFactor is the expected time in a zone without a free slot as a multiple of the
	// usual processing time.
	fullFactor = 3.0
	// maxBusyPrice bounds the part of the price that is added to the expected time in a zone
	// whose servers are all full.
	maxBusyPrice = time.Second
	// fullGainShare is the default of Config.FullGain as a share of the usual processing time.
	fullGainShare = 0.5
	// betterWeight and worseWeight are the weights of a new observation of a zone that is
	// better or worse than the view. A call that asks a zone in vain loses little, so the
	// view follows the better ones.
	betterWeight, worseWeight = 0.5, 0.3
	// viewFade is the time constant with which a zone that is not observed returns to idle.
	viewFade = 500 * time.Millisecond
	// maxTime bounds expected times, and maxPrice what a call can pay for leaving.
	maxTime, maxPrice = time.Minute, time.Hour
	// kilobyte is the number of bytes to which Config.KilobytePrice applies.
	kilobyte = 1000
)

// Config is the price of leaving the zone. A negative price counts as 0.
type Config struct {
	// Price is the time that a call may lose in its own zone before it pays to leave.
	Price time.Duration
	// KilobytePrice is the further time for each kilobyte that the call transfers.
	KilobytePrice time.Duration
	// FullGain is the gain beyond the price from which all calls leave; 0 means half of the
	// usual processing time.
	FullGain time.Duration
}

// Cost returns the price of a call that transfers the given number of bytes.
func (c Config) Cost(bytes int) time.Duration {
	cost := float64(max(c.Price, 0)) + float64(max(c.KilobytePrice, 0))*float64(max(bytes, 0))/kilobyte
	return time.Duration(min(cost, float64(maxPrice)))
}

// Expected returns the expected time of a call from a score, the multiple of the usual
// processing time. A score that is not a number or endless counts as the longest time.
func Expected(work time.Duration, score float64) time.Duration {
	t := float64(work) * score
	if math.IsNaN(t) || t > float64(maxTime) {
		return maxTime
	}
	return time.Duration(max(t, 0))
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -output=reason_string.go

// Reason states what a call lacks in its own zone.
type Reason int

const (
	// Loaded means that the best server of the zone has requests already.
	Loaded Reason = iota
	// Slow means that the best server of the zone is slower than usual.
	Slow
	// Cold means that the best server of the zone is warming up.
	Cold
	// Busy means that no server of the zone is known to have a free slot.
	Busy
	// Lost means that no server of the zone may get requests: all are leaving, evacuated,
	// ejected or unreachable, or there is none.
	Lost
)

// Own describes the servers of the gateway's own zone just before a call.
type Own struct {
	// Reason is what a call that leaves would lack.
	Reason Reason
	// Time is the expected time of the call at the best server. It has no meaning if
	// Reason is Busy or Lost.
	Time time.Duration
}

// Call is a call for which Decide is asked.
type Call struct {
	Own Own
	// Work is the usual processing time, and Bytes what the call usually transfers.
	Work  time.Duration
	Bytes int
	// Zones holds the other zones with servers that may get requests, in any fixed order.
	Zones []Zone
}

// Zone is another zone and the number of its servers that the gateway may send requests to.
type Zone struct {
	Name    string
	Servers int
}

// Decision says whether a call leaves its zone.
type Decision struct {
	// Zone is the zone to leave for; empty if the call stays.
	Zone string
	// Share is the probability with which such a call leaves.
	Share float64
}

// Balance holds what a gateway knows about the other zones for one service.
type Balance struct {
	cfg   Config
	views map[string]view
}

// view is the expected time in a zone as a multiple of the usual processing time.
type view struct {
	factor float64
	at     time.Time
}

// New returns a Balance that knows no zone.
func New(cfg Config) *Balance {
	return &Balance{cfg: cfg, views: make(map[string]view)}
}

// Observe records the best expected time that load queries found in another zone. Found is
// false if none of its servers had a free slot.
func (b *Balance) Observe(now time.Time, zone string, work, best time.Duration, found bool) {
	factor := fullFactor
	if found && work > 0 {
		factor = min(float64(best)/float64(work), fullFactor)
	}
	before, weight := b.factor(now, zone), worseWeight
	if factor < before {
		weight = betterWeight
	}
	b.views[zone] = view{factor: before + (factor-before)*weight, at: now}
}

// factor returns the present view of a zone.
func (b *Balance) factor(now time.Time, zone string) float64 {
	v, known := b.views[zone]
	if !known {
		return 1
	}
	age := max(now.Sub(v.at), 0)
	return 1 + (v.factor-1)*math.Exp(-age.Seconds()/viewFade.Seconds())
}

// Decide decides whether a call leaves its zone. It picks another zone with a probability
// in proportion to its share and its servers, so that a small zone is asked by few calls.
func (b *Balance) Decide(now time.Time, rng *rand.Rand, c Call) Decision {
	weights, sum, most := make([]float64, len(c.Zones)), 0.0, 0.0
	for i, zone := range c.Zones {
		share := b.share(now, zone.Name, c)
		weights[i] = share * float64(max(zone.Servers, 0))
		sum += weights[i]
		most = max(most, share)
	}
	if sum == 0 || rng.Float64() >= most {
		return Decision{Share: most}
	}
	at := rng.Float64() * sum
	for i, zone := range c.Zones {
		if at -= weights[i]; at < 0 {
			return Decision{Zone: zone.Name, Share: most}
		}
	}
	return Decision{Share: most}
}

// share returns the share of calls like c for which leaving for a zone pays.
func (b *Balance) share(now time.Time, zone string, c Call) float64 {
	if c.Own.Reason == Lost {
		return 1
	}
	work := max(c.Work, time.Millisecond)
	stay := c.Own.Time
	if c.Own.Reason == Busy {
		// A call that stays waits for a server, or is refused.
		stay = Expected(work, fullFactor) + min(b.cfg.Cost(c.Bytes), maxBusyPrice)
	}
	leave := Expected(work, b.factor(now, zone)) + b.cfg.Cost(c.Bytes)
	fullGain := float64(b.cfg.FullGain)
	if fullGain <= 0 {
		fullGain = fullGainShare * float64(work)
	}
	return min(max(float64(stay-leave)/fullGain, 0), 1)
}
