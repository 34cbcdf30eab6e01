package load

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=End -output=end_string.go

// End is how a call ended for its caller.
type End int

const (
	// Ran is a complete response with a status below 400.
	Ran End = iota
	// Failed is a complete response with a status of 400 or above that states
	// neither NotRun nor Unknown.
	Failed
	// NotRun is an error response which states that the request did not run.
	NotRun
	// Unknown is an error response which states that the request may have run.
	Unknown
	// Broken is a call without a complete response.
	Broken
	// Dropped is a call that was not sent because too many were in flight.
	Dropped

	endCount = int(Dropped) + 1
)

const (
	// maxLatency is the upper bound of recorded latencies; longer ones count as
	// maxLatency.
	maxLatency = 60 * time.Second
	// significantFigures is the precision of the latency histograms.
	significantFigures = 3
)

// Stats are the statistics of one stream, or of all streams.
type Stats struct {
	// Service names the stream.
	Service string
	// Calls is the number of calls, and Ends the number by the name of the End.
	Calls int64
	Ends  map[string]int64
	// Goodput is the number of calls per second that ended as Ran.
	Goodput float64
	// P50, P90, P99, P999 and Max are latency percentiles in milliseconds of the
	// calls that ended as Ran, counted from their scheduled times.
	P50, P90, P99, P999, Max float64
	// Within99 is the 99th percentile in milliseconds over all calls, where
	// calls that did not end as Ran count as infinitely slow, so that fast
	// refusals do not improve it. It is 0 if fewer than 99% of the calls ended
	// as Ran.
	Within99 float64
}

// Share returns the fraction of calls with the given end.
func (s Stats) Share(end End) float64 {
	if s.Calls == 0 {
		return 0
	}
	return float64(s.Ends[end.String()]) / float64(s.Calls)
}

// Result holds the measurements of a run.
type Result struct {
	// Seconds is the recorded time, which excludes the warmup.
	Seconds float64
	// All are the statistics over all streams.
	All Stats
	// Streams are the statistics by stream.
	Streams []Stats
}

// Text returns the result as a table.
func (r Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "Service",
		"Calls", "Ran", "Failed", "NotRun", "Unknown", "Broken", "Dropped", "P50ms", "P99ms", "P99.9ms")
	for _, s := range append(r.Streams[:len(r.Streams):len(r.Streams)], r.All) {
		fmt.Fprintf(&b, "%-12s %8d", s.Service, s.Calls)
		for end := Ran; end <= Dropped; end++ {
			fmt.Fprintf(&b, " %8d", s.Ends[end.String()])
		}
		fmt.Fprintf(&b, " %9.1f %9.1f %9.1f\n", s.P50, s.P99, s.P999)
	}
	return b.String()
}

// tally accumulates the statistics of one stream.
type tally struct {
	counts [endCount]int64
	// latency holds the latencies of the calls that ended as Ran.
	latency *hdrhistogram.Histogram
	// allCalls holds all calls; those that did not end as Ran count as
	// maxLatency.
	allCalls *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		latency:  hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		allCalls: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
	}
}

func (t *tally) add(end End, latency time.Duration) {
	t.counts[end]++
	latency = min(latency, maxLatency)
	if end != Ran {
		_ = t.allCalls.RecordValue(maxLatency.Microseconds())
		return
	}
	_ = t.latency.RecordValue(latency.Microseconds())
	_ = t.allCalls.RecordValue(latency.Microseconds())
}

func (t *tally) stats(service string, seconds float64) Stats {
	s := Stats{Service: service, Ends: make(map[string]int64, endCount)}
	for end, n := range t.counts {
		s.Calls += n
		s.Ends[End(end).String()] = n
	}
	percentile := func(quantile float64) float64 {
		return float64(t.latency.ValueAtQuantile(quantile)) / 1000
	}
	s.P50, s.P90, s.P99, s.P999, s.Max = percentile(50), percentile(90), percentile(99), percentile(99.9), percentile(100)
	if 100*t.counts[Ran] >= 99*s.Calls {
		s.Within99 = float64(t.allCalls.ValueAtQuantile(99)) / 1000
	}
	s.Goodput = float64(t.counts[Ran]) / seconds
	return s
}

// recorder accumulates the statistics of a run. It is safe for concurrent use.
type recorder struct {
	services []string

	mu      sync.Mutex
	total   *tally
	streams []*tally
}

func newRecorder(streams []Stream) *recorder {
	r := &recorder{total: newTally()}
	for _, s := range streams {
		r.services = append(r.services, s.Service)
		r.streams = append(r.streams, newTally())
	}
	return r
}

func (r *recorder) add(c call, end End, latency time.Duration) {
	if !c.recorded {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.add(end, latency)
	r.streams[c.stream].add(end, latency)
}

func (r *recorder) result(d time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{Seconds: d.Seconds(), All: r.total.stats("All", d.Seconds())}
	for i, t := range r.streams {
		out.Streams = append(out.Streams, t.stats(r.services[i], d.Seconds()))
	}
	return out
}
