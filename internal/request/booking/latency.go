package booking

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of most recent samples kept.
	latencyWindow = 256
	// latencyRefresh is the number of samples between updates of the estimate, and the
	// number required for the first one.
	latencyRefresh = 32
)

// Latency estimates a latency quantile of a service from its most recent samples. The
// zero value is ready to use once Quantile is set. It is not safe for concurrent use.
type Latency struct {
	// Quantile is the quantile to estimate, above 0 and below 1.
	Quantile float64

	samples [latencyWindow]time.Duration
	n       int
	value   time.Duration
}

// Add records the latency of one attempt.
func (l *Latency) Add(d time.Duration) {
	l.samples[l.n%latencyWindow] = d
	l.n++
	if l.n%latencyRefresh != 0 {
		return
	}
	sorted := l.samples
	valid := sorted[:min(l.n, latencyWindow)]
	slices.Sort(valid)
	l.value = valid[int(l.Quantile*float64(len(valid)))]
}

// Value returns the estimated quantile, or false if there are too few samples.
func (l *Latency) Value() (time.Duration, bool) {
	return l.value, l.n >= latencyRefresh
}
