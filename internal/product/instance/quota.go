package instance

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/allowance"
	"mustardsaddle.example/mustardsaddle/internal/peer/grant"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
)

func (in *instance) newQuotas(now time.Time, seed uint64) *grant.Quotas {
	return grant.New(grant.Config{
		Desk:    allowance.NewDesk(now, in.self.Name),
		Listed:  func() bool { return in.cfg.Directory == nil || in.gatewaysKnown.Load() },
		Seed:    seed,
		Metrics: in.metrics.Scope(),
		Logger:  in.cfg.Logger,
	})
}

// quotaUses returns the customers with the highest usage that this gateway grants.
func (in *instance) quotaUses() []mustardsaddle.QuotaUse {
	return in.quotas.Top(time.Now(), admin.MaxQuotas)
}
