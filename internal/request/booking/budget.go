package booking

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
}

// take pays for an attempt; a first attempt is free and earns both shares.
func (b *Budgets) take(kind Kind) bool {
	switch kind {
	case Retry:
		return b.Retry.Take()
	case Hedge:
		return b.Hedge.Take()
	case First:
		b.Retry.earn()
		b.Hedge.earn()
	}
	return true
}
