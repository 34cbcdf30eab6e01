package store

import (
	"time"

	"golang.org/x/time/rate"
)

// Rates are calls per second of a whole fleet.
type Rates struct {
	// Reads covers reads, lists and watches: a waiting watch counts as a read.
	Reads float64
	// Writes covers writes.
	Writes float64
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Use -output=use_string.go

// Use says what calls to the store are for.
type Use int

const (
	// Rules is for the rules and the list of VMs, without which nothing works.
	Rules Use = iota
	// Status is for reports to operators.
	Status
	// Claims is for callers' claimed requests, of which there can be any number.
	Claims
)

// reserve returns the share of a bucket that calls of this use leave to the others.
func (u Use) reserve() float64 {
	switch u {
	case Claims:
		return 0.5
	case Status:
		return 0.25
	default:
		return 0
	}
}

// Bounds of the calls that one gateway may make at once after a quiet time. In
// between it is the calls of one second, so that the bursts of a large fleet
// that starts at once stay near the rates.
const (
	minBurst = 4
	maxBurst = 20
)

// Budget is one gateway's share of the fleet's calls: a token bucket each for
// reads and writes. Claims leave half of a bucket to the others, and status calls a
// quarter to the rules, so that however many claimed requests come, the rules and
// what operators are told of them go on. A Budget is not safe for concurrent use.
type Budget struct {
	rates  Rates
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns the budget of one gateway of a fleet of the given size.
func NewBudget(rates Rates, fleet int) *Budget {
	b := &Budget{rates: rates, reads: rate.NewLimiter(0, maxBurst), writes: rate.NewLimiter(0, maxBurst)}
	b.SetFleet(time.Time{}, fleet)
	return b
}

// SetFleet divides the rates by the number of gateways.
func (b *Budget) SetFleet(now time.Time, n int) {
	share(now, b.reads, b.rates.Reads, n)
	share(now, b.writes, b.rates.Writes, n)
}

func share(now time.Time, limiter *rate.Limiter, total float64, n int) {
	perSecond := total / float64(max(n, 1))
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, min(max(int(perSecond), minBurst), maxBurst))
}

// Take reports whether a call may be made now, and takes its token.
func (b *Budget) Take(now time.Time, write bool, use Use) bool {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	if limiter.TokensAt(now) < use.reserve()*float64(limiter.Burst()) {
		return false
	}
	return limiter.AllowN(now, 1)
}
