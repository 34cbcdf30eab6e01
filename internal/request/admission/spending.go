package admission

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// plannedSlackShare is the fraction of the fleet's retry slack that is divided among the
// gateways. The rest is for gateways that have not learned of each other yet.
const plannedSlackShare = 0.8

// Spending is the state of the retry budget of a service for one decision.
type Spending struct {
	booking.Spending
	// Gateways is the number of gateways among which the slack is divided.
	Gateways int
}

// begin starts another attempt of a call. It returns the state of the retry budget if the
// attempt is a retry or a hedge, and logs one that the budget does not allow. The caller
// holds mu.
func (c *Controller) begin(now time.Time, r Request) (kind booking.Kind, tried []string, spent Spending, ok bool) {
	c.updateRetryBounds(now)
	refused := c.budgets.Refused
	kind, tried, ok = r.Begin(now, &c.budgets)
	if c.budgets.Refused > refused {
		c.recordRefusedRetry(now, kind)
	}
	if ok && kind != booking.First {
		spent = c.spending(now)
	}
	return kind, tried, spent, ok
}

// updateRetryBounds updates the retry bounds: the share of the calls, and this gateway's
// part of the fleet's slack. It has none while it does not know the other gateways.
func (c *Controller) updateRetryBounds(now time.Time) {
	if c.budgets.Window == nil {
		return
	}
	bounds := *c.controllers.retry.Load()
	part := 0.0
	if gateways := c.controllers.countMembers(now); gateways > 0 {
		part = plannedSlackShare / float64(gateways)
	}
	bounds.Slack *= part
	c.budgets.Window.SetBounds(now, bounds)
}

// spending returns the state of the retry budget. The caller holds mu.
func (c *Controller) spending(now time.Time) Spending {
	return Spending{Spending: c.budgets.Spending(now), Gateways: c.controllers.countMembers(now)}
}

// recordRefusedRetry counts and logs a retry or hedge that the budget does not allow. The
// caller holds mu.
func (c *Controller) recordRefusedRetry(now time.Time, kind booking.Kind) {
	c.Metrics.RetriesRefused.Inc(1)
	s := c.spending(now)
	event.Info(c.controllers.cfg.Logger, event.RetryRefused).Str("Service", c.Service).Str("Kind", kind.String()).
		Int("Calls", s.Calls).Int("Extra", s.Extra).Float64("Slack", s.Slack).Int("Gateways", s.Gateways).Send()
}
