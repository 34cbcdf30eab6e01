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

// Bounds of the calls that one gateway may make at once after a quiet time. In
// between it is the calls of one second, so that the bursts of a large fleet
// that starts at once stay near the rates.
const (
	minBurst = 4
	maxBurst = 20
)

// Budget is one gateway's share of the fleet's calls: a token bucket each for
// reads and writes. Status calls leave half of a bucket to the others, so that
// they are the first to be dropped. A Budget is not safe for concurrent use.
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
func (b *Budget) Take(now time.Time, write, status bool) bool {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	if status && limiter.TokensAt(now) < float64(limiter.Burst())/2 {
		return false
	}
	return limiter.AllowN(now, 1)
}
