package booking

import "time"

// Budget is a token bucket that limits extra attempts to a share of the calls. Each
// call adds Share tokens and each extra attempt takes one. Over n calls at most
// Burst + Share × n extra attempts are granted, so that retries do not amplify an
// overload. A Budget is not safe for concurrent use.
type Budget struct {
	// Share is the number of tokens added by each call.
	Share float64
	// Burst is the maximum number of tokens.
	Burst float64

	earned float64
	spent  float64
}

// NewBudget returns a full Budget.
func NewBudget(share, burst float64) Budget {
	return Budget{Share: share, Burst: burst, earned: burst}
}

// earn adds the share of one call, up to the burst.
func (b *Budget) earn() {
	b.earned = min(b.earned+b.Share, b.spent+b.Burst)
}

// unearn takes back the share of one call.
func (b *Budget) unearn() {
	b.earned = max(b.earned-b.Share, b.spent)
}

// Take takes a token for one extra attempt. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.earned-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Budgets holds the retry and hedge budgets that the calls of one service share.
type Budgets struct {
	// Retry limits retries.
	Retry Budget
	// Hedge limits hedges.
	Hedge Budget
	// Window, if set, replaces Retry as the limit on retries, and limits hedges in
	// addition to Hedge. It bounds the extra attempts in any period of its length.
	Window *Window
	// Refused is the number of retries and hedges that the budgets did not allow.
	Refused int64
}

// Spending returns the state of Window, or a zero value without one.
func (b *Budgets) Spending(now time.Time) Spending {
	if b.Window == nil {
		return Spending{}
	}
	return b.Window.Spending(now)
}

// take takes an attempt of the given kind from the budgets and reports whether they
// allow it. A first attempt is always allowed and replenishes the budgets.
func (b *Budgets) take(now time.Time, kind Kind) bool {
	switch kind {
	case Retry:
		return b.takeRetry(now)
	case Hedge:
		return b.counted(b.Hedge.Take() && (b.Window == nil || b.Window.Take(now)))
	case First:
		b.Retry.earn()
		b.Hedge.earn()
		if b.Window != nil {
			b.Window.RecordCall(now)
		}
	}
	return true
}

// forgetCall undoes what a first attempt that was begun at the given time added.
func (b *Budgets) forgetCall(at time.Time) {
	b.Retry.unearn()
	b.Hedge.unearn()
	if b.Window != nil {
		b.Window.forgetCall(at)
	}
}

// takeRetry takes a retry from the budgets and reports whether they allow it.
func (b *Budgets) takeRetry(now time.Time) bool {
	if b.Window != nil {
		return b.counted(b.Window.Take(now))
	}
	return b.counted(b.Retry.Take())
}

// counted counts an extra attempt that was not allowed.
func (b *Budgets) counted(allowed bool) bool {
	if !allowed {
		b.Refused++
	}
	return allowed
}
