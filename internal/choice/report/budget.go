package report

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ProbeBytes is what one probe is charged: request and answer with headers.
const ProbeBytes = 400

// minBurst is the smallest depth of a bucket, in messages.
const minBurst = 1

// BudgetConfig configures a Budget. A rate of zero or less allows nothing.
type BudgetConfig struct {
	// MessagesPerSecond bounds the probes of this gateway.
	MessagesPerSecond float64
	// BytesPerSecond bounds the bytes of the probes of this gateway.
	BytesPerSecond float64
	// Burst is the time for which unspent tokens are kept. A bucket holds at
	// least one message.
	Burst time.Duration
}

// Cost is a number of messages and their bytes.
type Cost struct {
	Messages int64
	Bytes    int64
}

// Stats shows what was spent against what was agreed.
type Stats struct {
	// Spent is the cost since the start.
	Spent Cost
	// Refused is the number of probes that the budget did not allow.
	Refused int64
	// AgreedMessagesPerSecond is the agreed rate of messages.
	AgreedMessagesPerSecond float64
	// AgreedBytesPerSecond is the agreed rate of bytes.
	AgreedBytesPerSecond float64
}

// Budget bounds the cost of probing of this gateway by token buckets in messages
// and in bytes per second. It depends on time alone, never on the number of
// calls that arrive. In any window of length w it allows at most rate × (w +
// Burst) messages, or one. It is safe for concurrent use.
//
// The rate at which one server is probed is bounded by package bench, which
// knows the live gateways that share it.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	latest   time.Time
	messages *rate.Limiter
	bytes    *rate.Limiter
	spent    Cost
	refused  int64
}

// NewBudget returns a Budget with full buckets.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = 250 * time.Millisecond
	}
	return &Budget{
		cfg:      cfg,
		messages: newLimiter(cfg.MessagesPerSecond, cfg.Burst, minBurst),
		bytes:    newLimiter(cfg.BytesPerSecond, cfg.Burst, ProbeBytes),
	}
}

// newLimiter returns a bucket that keeps the tokens of the time burst.
func newLimiter(perSecond float64, burst time.Duration, least int) *rate.Limiter {
	limit, depth := bucket(perSecond, burst, least)
	return rate.NewLimiter(limit, depth)
}

// setLimiter changes the rate of a bucket.
func setLimiter(at time.Time, l *rate.Limiter, perSecond float64, burst time.Duration, least int) {
	limit, depth := bucket(perSecond, burst, least)
	l.SetLimitAt(at, limit)
	l.SetBurstAt(at, depth)
}

// bucket returns the rate and the depth of a bucket.
func bucket(perSecond float64, burst time.Duration, least int) (rate.Limit, int) {
	if math.IsNaN(perSecond) || perSecond <= 0 {
		return 0, 0
	}
	return rate.Limit(perSecond), max(least, int(perSecond*burst.Seconds()))
}

// SetRates changes what was agreed. What was spent stays spent.
func (b *Budget) SetRates(now time.Time, cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	cfg.Burst = b.cfg.Burst
	b.cfg = cfg
	setLimiter(at, b.messages, cfg.MessagesPerSecond, cfg.Burst, minBurst)
	setLimiter(at, b.bytes, cfg.BytesPerSecond, cfg.Burst, ProbeBytes)
}

// Take pays for messages of the given total size, or returns false and pays
// nothing.
func (b *Budget) Take(now time.Time, messages, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.advance(now), messages, bytes)
}

// Stats returns what was spent and agreed so far.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Spent:                   b.spent,
		Refused:                 b.refused,
		AgreedMessagesPerSecond: b.cfg.MessagesPerSecond,
		AgreedBytesPerSecond:    b.cfg.BytesPerSecond,
	}
}

// advance returns now, but never a time before one that was seen: a clock that
// is set back must not refill the buckets twice.
func (b *Budget) advance(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

func (b *Budget) take(now time.Time, messages, bytes int) bool {
	if messages < 0 || bytes < 0 ||
		b.messages.TokensAt(now) < float64(messages) || b.bytes.TokensAt(now) < float64(bytes) {
		b.refused++
		return false
	}
	// The two buckets are paid together or not at all.
	if !b.messages.AllowN(now, messages) || !b.bytes.AllowN(now, bytes) {
		b.refused++
		return false
	}
	b.spent.Messages += int64(messages)
	b.spent.Bytes += int64(bytes)
	return true
}
