package report

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ProbeBytes is the expected size of one probe: request and response with headers.
// The byte bucket of a Budget is at least as deep.
const ProbeBytes = 400

// minMessageDepth is the minimum depth of the message bucket.
const minMessageDepth = 1

// BudgetConfig configures a Budget. A rate of zero or less permits nothing.
type BudgetConfig struct {
	// MessagesPerSecond is the maximum rate of this gateway's probes and load
	// queries.
	MessagesPerSecond float64
	// BytesPerSecond is the maximum byte rate of this gateway's probes and load
	// queries.
	BytesPerSecond float64
	// Burst is the time over which unused tokens accumulate; 0 means 250 ms. A
	// bucket holds at least one message.
	Burst time.Duration
}

// Cost is a number of messages and their total size in bytes.
type Cost struct {
	Messages int64
	Bytes    int64
}

// Stats compares the usage of a Budget with its configured rates.
type Stats struct {
	// Used is the total cost of the permitted probes and load queries.
	Used Cost
	// Refused is the number of probes and load queries that the budget did not
	// permit.
	Refused int64
	// MessagesPerSecond is the configured message rate.
	MessagesPerSecond float64
	// BytesPerSecond is the configured byte rate.
	BytesPerSecond float64
}

// Budget limits the cost of this gateway's probes and load queries by two token
// buckets, one for messages and one for bytes. It depends on time alone, never on
// the number of calls that arrive. In any window of length w it permits at most
// rate × w messages plus the depth of the bucket, which is rate × Burst but at least
// one message. It is safe for concurrent use.
//
// The rate at which one server is probed is limited by package bench, which knows
// the live gateways that share the server.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	latest   time.Time
	messages *rate.Limiter
	bytes    *rate.Limiter
	used     Cost
	refused  int64
}

// NewBudget returns a Budget with full buckets.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = 250 * time.Millisecond
	}
	return &Budget{
		cfg:      cfg,
		messages: newLimiter(cfg.MessagesPerSecond, cfg.Burst, minMessageDepth),
		bytes:    newLimiter(cfg.BytesPerSecond, cfg.Burst, ProbeBytes),
	}
}

// newLimiter returns a token bucket that accumulates tokens over the time burst.
func newLimiter(perSecond float64, burst time.Duration, minDepth int) *rate.Limiter {
	limit, depth := bucketParameters(perSecond, burst, minDepth)
	return rate.NewLimiter(limit, depth)
}

// setLimiter changes the rate and depth of a token bucket.
func setLimiter(at time.Time, l *rate.Limiter, perSecond float64, burst time.Duration, minDepth int) {
	limit, depth := bucketParameters(perSecond, burst, minDepth)
	l.SetLimitAt(at, limit)
	l.SetBurstAt(at, depth)
}

// bucketParameters returns the rate and depth of a token bucket.
func bucketParameters(perSecond float64, burst time.Duration, minDepth int) (rate.Limit, int) {
	if math.IsNaN(perSecond) || perSecond <= 0 {
		return 0, 0
	}
	return rate.Limit(perSecond), max(minDepth, int(perSecond*burst.Seconds()))
}

// SetRates changes the configured rates. Tokens already consumed stay consumed.
func (b *Budget) SetRates(now time.Time, cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.monotonic(now)
	cfg.Burst = b.cfg.Burst
	b.cfg = cfg
	setLimiter(at, b.messages, cfg.MessagesPerSecond, cfg.Burst, minMessageDepth)
	setLimiter(at, b.bytes, cfg.BytesPerSecond, cfg.Burst, ProbeBytes)
}

// Allow consumes tokens for messages of the given total size. If either bucket has
// too few, it consumes nothing and returns false.
func (b *Budget) Allow(now time.Time, messages, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allow(b.monotonic(now), messages, bytes)
}

// Stats returns the usage so far and the configured rates.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Used:              b.used,
		Refused:           b.refused,
		MessagesPerSecond: b.cfg.MessagesPerSecond,
		BytesPerSecond:    b.cfg.BytesPerSecond,
	}
}

// monotonic returns now, but never a time before the latest one seen: a clock that
// is set back must not refill the buckets twice.
func (b *Budget) monotonic(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

func (b *Budget) allow(now time.Time, messages, bytes int) bool {
	if messages < 0 || bytes < 0 ||
		b.messages.TokensAt(now) < float64(messages) || b.bytes.TokensAt(now) < float64(bytes) {
		b.refused++
		return false
	}
	// Both checks passed above, so tokens are taken from both buckets or from
	// neither.
	if !b.messages.AllowN(now, messages) || !b.bytes.AllowN(now, bytes) {
		b.refused++
		return false
	}
	b.used.Messages += int64(messages)
	b.used.Bytes += int64(bytes)
	return true
}
