package grant

import (
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
)

// metrics are the metrics of one gateway. Run alone updates them, but for badMessages.
type metrics struct {
	asks, grants, refused, alone, badMessages tally.Counter
	conns                                     tally.Gauge
	shown                                     *mustardsaddle.QuotaCounts
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		asks:        scope.Counter("QuotaAsks"),
		grants:      scope.Counter("QuotaGrants"),
		refused:     scope.Counter("QuotaRefused"),
		alone:       scope.Counter("QuotaAlone"),
		badMessages: scope.Counter("QuotaBadMessages"),
		conns:       scope.Gauge("QuotaConnections"),
		shown:       &mustardsaddle.QuotaCounts{},
	}
}

// update raises the counters to the counts.
func (m metrics) update(counts mustardsaddle.QuotaCounts, conns int) {
	m.asks.Inc(counts.Asks - m.shown.Asks)
	m.grants.Inc(counts.Grants - m.shown.Grants)
	m.refused.Inc(counts.Refused - m.shown.Refused)
	m.alone.Inc(counts.Alone - m.shown.Alone)
	m.conns.Update(float64(conns))
	*m.shown = counts
}
