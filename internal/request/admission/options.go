package admission

import (
	"cmp"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
)

// Defaults of Options.
const (
	defaultMaxWaiting = 1024
	defaultRetryShare = 0.2
	defaultHedgeShare = 0.05
	defaultQuantile   = 0.95
	defaultMinHedge   = 5 * time.Millisecond
	defaultAsk        = 8
	defaultLoadPath   = "/load"
)

// Budget bounds the cost of measuring.
type Budget interface {
	// Take spends messages and bytes, or returns false and spends nothing.
	Take(now time.Time, messages, bytes int) bool
}

// Options say when attempts may go, and where. Zero values of limits mean the
// default.
type Options struct {
	// Zone is this gateway's availability zone.
	Zone string
	// MaxWaiting bounds the calls of one service that wait for a server; below 0
	// for none.
	MaxWaiting int
	// RetryShare is the number of retries that one call earns; below 0 for none.
	RetryShare float64
	// RetryWindow is the time over which retries and hedges together are bounded
	// by RetryShare of the calls and RetrySlack; 0 means that each call earns its
	// share instead.
	RetryWindow time.Duration
	// RetrySlack is how many retries and hedges all gateways together may send in
	// a window beyond the share.
	RetrySlack float64
	// HedgeShare is the number of hedges that one call earns; below 0 for none.
	HedgeShare float64
	// HedgeQuantile is the quantile of latencies after which a hedge is sent.
	HedgeQuantile float64
	// MinHedge is the shortest time after which a hedge is sent.
	MinHedge time.Duration
	// Ask is how many servers are asked for their load before a call is sent, if
	// the chooser wants to know.
	Ask int
	// ProbePath is where servers tell their load if the rules do not say; empty
	// means /load.
	ProbePath string
	// ServerPerSecond is how many questions one server may get each second from all
	// gateways together.
	ServerPerSecond float64
	// Budget pays for what servers are asked; nil means that nothing is asked.
	Budget Budget
	// NewChooser returns the chooser of a service; nil means package bench.
	NewChooser func(service string) mustardsaddle.Chooser
	// OnReport, if set, is told each load report. It must not block.
	OnReport func(now time.Time, service, server string, rep mustardsaddle.Report)
}

// withDefaults fills in the zero values.
func (o Options) withDefaults() Options {
	o.MaxWaiting = cmp.Or(o.MaxWaiting, defaultMaxWaiting)
	o.RetryShare = cmp.Or(o.RetryShare, defaultRetryShare)
	o.HedgeShare = cmp.Or(o.HedgeShare, defaultHedgeShare)
	o.HedgeQuantile = cmp.Or(o.HedgeQuantile, defaultQuantile)
	o.MinHedge = cmp.Or(o.MinHedge, defaultMinHedge)
	o.Ask = cmp.Or(o.Ask, defaultAsk)
	o.ProbePath = cmp.Or(o.ProbePath, defaultLoadPath)
	if o.NewChooser == nil {
		o.NewChooser = func(string) mustardsaddle.Chooser { return bench.New(bench.Config{}) }
	}
	return o
}
