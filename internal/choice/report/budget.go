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
	// ServerMessagesPerSecond bounds the probes that one server gets from the
	// whole fleet of gateways. Zero means no bound per server.
	ServerMessagesPerSecond float64
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
	// Fleet is the number of live gateways that share each server.
	Fleet int
}

// Budget bounds the cost of probing by token buckets: messages and bytes per
// second of this gateway, and messages per second of each server. It depends on
// time alone, never on the number of calls that arrive. In any window of length
// w it allows at most rate × (w + Burst) messages, and at least one. It is safe
// for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	latest   time.Time
	messages *rate.Limiter
	bytes    *rate.Limiter
	fleet    int
	next     map[string]time.Time
	swept    time.Time
	spent    Cost
	refused  int64
}

// NewBudget returns a Budget with full buckets and a fleet of one gateway.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = 250 * time.Millisecond
	}
	return &Budget{
		cfg:      cfg,
		messages: newLimiter(cfg.MessagesPerSecond, cfg.Burst, minBurst),
		bytes:    newLimiter(cfg.BytesPerSecond, cfg.Burst, ProbeBytes),
		fleet:    1,
		next:     make(map[string]time.Time),
	}
}

// newLimiter returns a bucket that keeps the tokens of the time burst.
func newLimiter(perSecond float64, burst time.Duration, least int) *rate.Limiter {
	if math.IsNaN(perSecond) || perSecond <= 0 {
		return rate.NewLimiter(0, 0)
	}
	depth := max(least, int(perSecond*burst.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), depth)
}

// SetFleet sets the number of live gateways among which each server's probe
// rate is divided, so that a growing fleet does not raise it.
func (b *Budget) SetFleet(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = max(n, 1)
}

// Take pays for messages of the given total size, or returns false and pays
// nothing.
func (b *Budget) Take(now time.Time, messages, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.advance(now), messages, bytes)
}

// TakeServer pays for messages to one server, or returns false and pays
// nothing. Each server has its own rate besides that of the gateway.
func (b *Budget) TakeServer(now time.Time, server string, messages, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	if now.Before(b.next[server]) {
		b.refused++
		return false
	}
	if !b.take(now, messages, bytes) {
		return false
	}
	if b.cfg.ServerMessagesPerSecond > 0 {
		b.sweep(now)
		share := b.cfg.ServerMessagesPerSecond / float64(b.fleet)
		b.next[server] = now.Add(time.Duration(float64(messages) / share * float64(time.Second)))
	}
	return true
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
		Fleet:                   b.fleet,
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

// sweep forgets servers whose time has come, once a minute, so that replaced
// servers leave no state behind.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.swept) < time.Minute {
		return
	}
	b.swept = now
	for name, next := range b.next {
		if !now.Before(next) {
			delete(b.next, name)
		}
	}
}
