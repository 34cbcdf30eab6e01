package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// followSettings applies later settings until the context ends, then closes done.
func (in *instance) followSettings(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-in.cfg.Reloads:
			in.reload(time.Now(), s)
		}
	}
}

// reload puts the parts of new settings in force that can change while calls are
// served: the budgets of questions and retries, and the stop. The others keep
// their values until a restart.
func (in *instance) reload(now time.Time, s settings.Settings) {
	old := *in.current.Load()
	in.budget.SetRates(now, measuringRates(s))
	in.gateway.SetRetry(now, booking.Bounds{Share: s.Retry.RetryShare, Slack: s.Retry.Slack})
	next := old.WithMeasuring(s.Measuring).WithRetry(s.Retry).WithStop(s.Stop)
	in.current.Store(&next)
	event.Info(in.cfg.Logger, event.SettingsReloaded).Strs("InForce", next.Changed(old)).
		Strs("AfterRestart", s.Changed(next)).Send()
}

// measuringRates returns the agreed rates of questions.
func measuringRates(s settings.Settings) report.BudgetConfig {
	return report.BudgetConfig{
		MessagesPerSecond: s.Measuring.MessagesPerSecond,
		BytesPerSecond:    s.Measuring.BytesPerSecond,
	}
}
