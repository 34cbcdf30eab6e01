package gateway

import (
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/arrival"
)

// maxArrivals bounds the number of rules for which the callers' waits are estimated. Beyond
// it all estimates are begun anew.
const maxArrivals = 4096

// arrivals holds the estimates of the callers' usual waits, by rule. It is safe for concurrent
// use. A nil arrivals estimates nothing.
type arrivals struct {
	mu     sync.Mutex
	byRule map[rule.ID]*arrival.Estimator
}

// newArrivals returns arrivals, or nil if they are not needed.
func newArrivals(needed bool) *arrivals {
	if !needed {
		return nil
	}
	return &arrivals{byRule: make(map[rule.ID]*arrival.Estimator)}
}

// elapsed returns the time for which the caller of a request on a rule has waited before,
// given the time for which it still waits. It is 0 for a rule without a target.
func (a *arrivals) elapsed(r rule.Rule, stated time.Duration) time.Duration {
	if a == nil || r.Target == 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byRule[r.ID()]
	if e == nil {
		if len(a.byRule) >= maxArrivals {
			clear(a.byRule)
		}
		e = &arrival.Estimator{}
		a.byRule[r.ID()] = e
	}
	e.Observe(stated)
	return e.Elapsed(stated)
}
