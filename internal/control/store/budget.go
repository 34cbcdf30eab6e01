package store

import (
	"time"

	"golang.org/x/time/rate"
)

// Rates are limits on the calls per second of the whole fleet.
type Rates struct {
	// Reads limits reads, lists and watches. A watch counts as one read.
	Reads float64
	// Writes limits writes.
	Writes float64
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Use -output=use_string.go

// Use is the purpose of calls to the store, which determines their priority.
type Use int

const (
	// Rules is for the routing rules and the list of VMs, which the gateway cannot work
	// without.
	Rules Use = iota
	// Status is for status reports to operators.
	Status
	// Claims is for the claims of requests, whose number is not bounded.
	Claims
)

// reserve returns the fraction of a token bucket that calls of this use leave to calls of
// higher priority.
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

// Bounds of the size of a token bucket, which is the burst after an idle period. Between
// them, a bucket holds the calls of one second, so that the combined burst of a large
// fleet that starts at the same time stays close to the rates.
const (
	minBurst = 4
	maxBurst = 20
)

// Budget enforces one gateway's share of the fleet's rate limits, with one token bucket
// for reads and one for writes. Claims leave half of a bucket to other calls, and status
// calls leave a quarter to the rules, so that any number of claims does not block rules
// and status reports. A Budget is not safe for concurrent use.
type Budget struct {
	rates  Rates
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns the Budget of one gateway in a fleet of the given size.
func NewBudget(rates Rates, fleet int) *Budget {
	b := &Budget{rates: rates, reads: rate.NewLimiter(0, maxBurst), writes: rate.NewLimiter(0, maxBurst)}
	b.SetFleet(time.Time{}, fleet)
	return b
}

// SetFleet sets the number of gateways among which the rates are divided.
func (b *Budget) SetFleet(now time.Time, n int) {
	setRate(now, b.reads, b.rates.Reads, n)
	setRate(now, b.writes, b.rates.Writes, n)
}

func setRate(now time.Time, limiter *rate.Limiter, total float64, n int) {
	perSecond := total / float64(max(n, 1))
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, min(max(int(perSecond), minBurst), maxBurst))
}

// Take takes a token for a call and reports whether the call may be sent now.
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
