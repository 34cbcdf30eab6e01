package booking

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of latest latencies that are kept.
	latencyWindow = 256
	// latencyRefresh is the number of additions between two sorts.
	latencyRefresh = 32
)

// Latency estimates a quantile of the latest latencies of a service. Its zero
// value is ready to use with Quantile set. It is not safe for concurrent use.
type Latency struct {
	// Quantile is the wanted quantile, above 0 and below 1.
	Quantile float64

	window [latencyWindow]time.Duration
	n      int
	value  time.Duration
}

// Add takes the latency of one attempt.
func (l *Latency) Add(d time.Duration) {
	l.window[l.n%latencyWindow] = d
	l.n++
	if l.n%latencyRefresh != 0 {
		return
	}
	sorted := l.window
	known := sorted[:min(l.n, latencyWindow)]
	slices.Sort(known)
	l.value = known[int(l.Quantile*float64(len(known)))]
}

// Value returns the quantile, or false while too few latencies are known.
func (l *Latency) Value() (time.Duration, bool) {
	return l.value, l.n >= latencyRefresh
}
