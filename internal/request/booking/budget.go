package booking

import "time"

// Budget bounds extra attempts to a share of calls: each call earns Share, each
// extra attempt costs one. Over n calls at most Burst + Share × n extra attempts
// are granted, so that trouble is not amplified. A Budget is not safe for
// concurrent use.
type Budget struct {
	// Share is the number of extra attempts that one call earns.
	Share float64
	// Burst is the number of extra attempts that can be saved up.
	Burst float64

	earned float64
	spent  float64
}

// NewBudget returns a budget that starts with its burst saved up.
func NewBudget(share, burst float64) Budget {
	return Budget{Share: share, Burst: burst, earned: burst}
}

// earn adds one call's share. What exceeds the burst is lost.
func (b *Budget) earn() {
	b.earned = min(b.earned+b.Share, b.spent+b.Burst)
}

// Take spends one extra attempt, or returns false.
func (b *Budget) Take() bool {
	if b.earned-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Budgets are the budgets that the calls of one service share.
type Budgets struct {
	// Retry pays for attempts after one that ended.
	Retry Budget
	// Hedge pays for attempts beside one that has not ended.
	Hedge Budget
	// Window, if set, pays for retries in place of Retry, and for hedges besides
	// Hedge, so that the extra attempts of any stretch of time are bounded.
	Window *Window
	// Bounds are what the Window allows.
	Bounds Bounds
}

// take pays for an attempt; a first attempt is free and earns both shares.
func (b *Budgets) take(now time.Time, kind Kind) bool {
	switch kind {
	case Retry:
		return b.TakeRetry(now)
	case Hedge:
		return b.Hedge.Take() && (b.Window == nil || b.Window.Take(now, b.Bounds))
	case First:
		b.Retry.earn()
		b.Hedge.earn()
		if b.Window != nil {
			b.Window.Call(now)
		}
	}
	return true
}

// TakeRetry pays for an attempt after one that ended.
func (b *Budgets) TakeRetry(now time.Time) bool {
	if b.Window != nil {
		return b.Window.Take(now, b.Bounds)
	}
	return b.Retry.Take()
}
