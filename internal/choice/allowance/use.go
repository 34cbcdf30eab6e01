package allowance

import (
	"cmp"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

func (b *bucket) use(now time.Time, customer string) mustardsaddle.QuotaUse {
	idle := max(0, now.Sub(b.updated).Seconds())
	return mustardsaddle.QuotaUse{
		Customer: customer, Rate: b.rate, Burst: b.burst, Usage: b.perSecond / b.rate / (1 + idle/usageTime.Seconds()),
		Granted: b.granted, Refused: b.refused, Limited: b.limited, Since: b.since,
	}
}

// Top returns the customers with the highest usage, at most limit of them, highest first.
func (p *Pool) Top(now time.Time, limit int) []mustardsaddle.QuotaUse {
	uses := make([]mustardsaddle.QuotaUse, 0, len(p.buckets))
	for name, b := range p.buckets {
		uses = append(uses, b.use(now, name))
	}
	slices.SortFunc(uses, func(a, b mustardsaddle.QuotaUse) int {
		return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(a.Customer, b.Customer))
	})
	return uses[:min(limit, len(uses))]
}

// Changes returns the customers that have begun or ceased to be limited since the last
// call, ordered by name.
func (p *Pool) Changes(now time.Time) []mustardsaddle.QuotaUse {
	var changed []mustardsaddle.QuotaUse
	for name, b := range p.buckets {
		limited := !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < limitedFor
		if limited == b.limited {
			continue
		}
		if limited {
			b.since = b.refusedAt
		}
		b.limited = limited
		changed = append(changed, b.use(now, name))
	}
	slices.SortFunc(changed, func(a, b mustardsaddle.QuotaUse) int { return cmp.Compare(a.Customer, b.Customer) })
	return changed
}
