package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// followSettings applies reloaded settings until the context ends, then closes done.
func (in *instance) followSettings(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-in.cfg.Reloads:
			in.applySettings(time.Now(), s)
		}
	}
}

// applySettings applies the sections of new settings that can change while the gateway
// runs: the budget of probes and load queries, the budget of retries, and the shutdown
// times. The other sections keep their values until a restart.
func (in *instance) applySettings(now time.Time, s settings.Settings) {
	old := *in.current.Load()
	in.probeBudget.SetRates(now, probeRates(s))
	in.gateway.SetRetryBudget(now, booking.Bounds{Share: s.Retry.RetryShare, Slack: s.Retry.Slack})
	next := old.WithMeasuring(s.Measuring).WithRetry(s.Retry).WithStop(s.Stop)
	in.current.Store(&next)
	event.Info(in.cfg.Logger, event.SettingsReloaded).Strs("InForce", next.ChangedSections(old)).
		Strs("AfterRestart", s.ChangedSections(next)).Send()
}

// probeRates returns the configured limits of the budget of probes and load queries.
func probeRates(s settings.Settings) report.BudgetConfig {
	return report.BudgetConfig{
		MessagesPerSecond: s.Measuring.MessagesPerSecond,
		BytesPerSecond:    s.Measuring.BytesPerSecond,
	}
}
