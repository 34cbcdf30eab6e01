package load

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=End -output=end_string.go

// End says how a call ended for its caller.
type End int

const (
	// Ran is a whole answer below status 400.
	Ran End = iota
	// Failed is a whole answer of a server with status 400 or above.
	Failed
	// NotRun is a refusal that says that the call did not run.
	NotRun
	// Unknown is an answer that says that the call may have run.
	Unknown
	// Broken is a call without a whole answer.
	Broken
	// Dropped is a call that was not made, since too many were in flight.
	Dropped

	ends = int(Dropped) + 1
)

const (
	// maxLatency is the longest latency that is told apart.
	maxLatency = 60 * time.Second
	// figures is the number of significant figures of latencies.
	figures = 3
)

// Stats are the figures of one stream, or of all.
type Stats struct {
	// Service names the stream.
	Service string
	// Calls is the number of calls, Ends how they ended.
	Calls int64
	Ends  map[string]int64
	// Goodput is the number of calls per second that ran.
	Goodput float64
	// P50, P90, P99, P999 and Max are latencies of the calls that ran, from the
	// intended time, in milliseconds.
	P50, P90, P99, P999, Max float64
	// Within99 is the time in milliseconds within which 99 of 100 of all calls
	// had run, whatever became of the others; 0 if fewer ran at all. Refusals
	// don't flatter it.
	Within99 float64
}

// Share returns the share of calls with the given end.
func (s Stats) Share(end End) float64 {
	if s.Calls == 0 {
		return 0
	}
	return float64(s.Ends[end.String()]) / float64(s.Calls)
}

// Result is what a run measured.
type Result struct {
	// Seconds is the recorded time.
	Seconds float64
	// All are the figures over all streams.
	All Stats
	// Streams are the figures by stream.
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

// tally counts the calls of one stream.
type tally struct {
	ends    [ends]int64
	latency *hdrhistogram.Histogram
	// all counts calls that did not run as maxLatency.
	all *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		all:     hdrhistogram.New(1, maxLatency.Microseconds(), figures),
	}
}

func (t *tally) add(end End, latency time.Duration) {
	t.ends[end]++
	latency = min(latency, maxLatency)
	if end != Ran {
		_ = t.all.RecordValue(maxLatency.Microseconds())
		return
	}
	_ = t.latency.RecordValue(latency.Microseconds())
	_ = t.all.RecordValue(latency.Microseconds())
}

func (t *tally) stats(service string, seconds float64) Stats {
	s := Stats{Service: service, Ends: make(map[string]int64, ends)}
	for end, n := range t.ends {
		s.Calls += n
		s.Ends[End(end).String()] = n
	}
	at := func(quantile float64) float64 {
		return float64(t.latency.ValueAtQuantile(quantile)) / 1000
	}
	s.P50, s.P90, s.P99, s.P999, s.Max = at(50), at(90), at(99), at(99.9), at(100)
	if 100*t.ends[Ran] >= 99*s.Calls {
		s.Within99 = float64(t.all.ValueAtQuantile(99)) / 1000
	}
	s.Goodput = float64(t.ends[Ran]) / seconds
	return s
}

// record collects the calls of a run. It is safe for concurrent use.
type record struct {
	names []string

	mu      sync.Mutex
	all     *tally
	streams []*tally
}

func newRecord(streams []Stream) *record {
	r := &record{all: newTally()}
	for _, s := range streams {
		r.names = append(r.names, s.Service)
		r.streams = append(r.streams, newTally())
	}
	return r
}

func (r *record) add(c call, end End, latency time.Duration) {
	if !c.record {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(end, latency)
	r.streams[c.stream].add(end, latency)
}

func (r *record) result(d time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{Seconds: d.Seconds(), All: r.all.stats("All", d.Seconds())}
	for i, t := range r.streams {
		out.Streams = append(out.Streams, t.stats(r.names[i], d.Seconds()))
	}
	return out
}
