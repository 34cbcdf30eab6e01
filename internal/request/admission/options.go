package admission

import (
	"cmp"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
)

// Default values of Options.
const (
	defaultMaxQueued      = 1024
	defaultRetryShare     = 0.2
	defaultHedgeShare     = 0.05
	defaultQuantile       = 0.95
	defaultMinHedge       = 5 * time.Millisecond
	defaultMaxLoadQueries = 8
	defaultLoadPath       = "/load"
)

// Budget limits the traffic spent on probes and load queries.
type Budget interface {
	// Allow consumes budget for messages and bytes. If the budget is too low, it returns
	// false and consumes nothing.
	Allow(now time.Time, messages, bytes int) bool
}

// Options configure admission and server selection. A zero limit means its default.
type Options struct {
	// Zone is this gateway's availability zone.
	Zone string
	// MaxQueued is the maximum queue length of a service. A negative value disables
	// queueing.
	MaxQueued int
	// LateLast is true if calls that can no longer meet their target are refused while
	// calls that still can find no server.
	LateLast bool
	// RetryShare is the number of retries earned by each call. A negative value
	// disables retries.
	RetryShare float64
	// RetryWindow is the length of the sliding window in which retries and hedges
	// together are limited to RetryShare of the calls plus RetrySlack. If it is 0, a
	// token bucket that each call fills by RetryShare limits retries instead.
	RetryWindow time.Duration
	// RetrySlack is the number of retries and hedges beyond the share that the whole
	// fleet may send in a window.
	RetrySlack float64
	// HedgeShare is the number of hedges earned by each call. A negative value
	// disables hedging.
	HedgeShare float64
	// HedgeQuantile is the latency quantile used as the hedge delay.
	HedgeQuantile float64
	// MinHedge is the minimum hedge delay.
	MinHedge time.Duration
	// MaxLoadQueries is the maximum number of servers queried for their load before an
	// attempt, if the chooser is a LoadQuerier.
	MaxLoadQueries int
	// ProbePath is the URL path of load reports for services whose rule sets none; empty
	// means /load.
	ProbePath string
	// LoadQueriesPerServer limits the load queries per second that one server receives
	// from the whole fleet.
	LoadQueriesPerServer float64
	// Budget limits load queries; nil disables them.
	Budget Budget
	// NewChooser returns the chooser of a service; nil means one of package bench.
	NewChooser func(service string) mustardsaddle.Chooser
	// OnReport, if set, is called with each load report. It must not block.
	OnReport func(now time.Time, service, server string, rep mustardsaddle.Report)
	// OnReach, if set, is called with the services whose servers this gateway cannot reach
	// whenever one is lost or regained. It must not block.
	OnReach func(now time.Time, lost []string)
	// OnStatement, if set, is called with each statement of a server that this gateway
	// has observed itself and that is new. It must not block.
	OnStatement func(s mustardsaddle.ServerStatement)
}

// withDefaults returns a copy of o with zero values replaced by defaults.
func (o Options) withDefaults() Options {
	o.MaxQueued = cmp.Or(o.MaxQueued, defaultMaxQueued)
	o.RetryShare = cmp.Or(o.RetryShare, defaultRetryShare)
	o.HedgeShare = cmp.Or(o.HedgeShare, defaultHedgeShare)
	o.HedgeQuantile = cmp.Or(o.HedgeQuantile, defaultQuantile)
	o.MinHedge = cmp.Or(o.MinHedge, defaultMinHedge)
	o.MaxLoadQueries = cmp.Or(o.MaxLoadQueries, defaultMaxLoadQueries)
	o.ProbePath = cmp.Or(o.ProbePath, defaultLoadPath)
	if o.NewChooser == nil {
		o.NewChooser = func(string) mustardsaddle.Chooser { return bench.New(bench.Config{}) }
	}
	return o
}
