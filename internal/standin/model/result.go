package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=End -output=end_string.go

// End is how a request of a caller ended, over all its tries.
type End int

const (
	// Served means that an answer came, in time or late.
	Served End = iota
	// Refused means that the request was refused and has not run.
	Refused
	// Failed means that it broke, or may have run.
	Failed
	// TimedOut means that its deadline passed.
	TimedOut
)

// ends is the number of ends.
const ends = int(TimedOut) + 1

const (
	// WindowLength is the length of the windows over which credit is taken.
	WindowLength = 2 * time.Second
	// worstWindows is how many of the worst windows count.
	worstWindows = 2
	// maxLatency bounds the histogram of latencies.
	maxLatency = time.Minute
	// figures is the number of significant figures of the histogram.
	figures = 3
)

// Weights of the parts of a result in its worth, those of both users. They add up to 1.
const (
	// worstWeight is that of the credit of the worst windows.
	worstWeight = 0.4
	// wholeWeight is that of all credit.
	wholeWeight = 0.28
	// servedWeight is that of requests that are served at all.
	servedWeight = 0.2
	// kindWeight is that of the kind of request with the least credit.
	kindWeight = 0.12
)

// Result is what callers got in a run.
type Result struct {
	// Pattern and Policy name the run.
	Pattern string
	Policy  string
	// Asked counts the new requests.
	Asked int
	// Requests counts the requests by their ends, and InTime those served by their
	// target.
	Requests [ends]int
	InTime   int
	// Attempts counts what was sent to servers, Questions what they were asked.
	Attempts  int
	Questions int

	kinds   map[string]*credit
	windows []credit
	whole   credit
	latency *hdrhistogram.Histogram
}

// credit is what was earned of what could be earned.
type credit struct {
	earned, owed float64
}

// share returns the part that was earned; of nothing, all.
func (c credit) share() float64 {
	if c.owed == 0 {
		return 1
	}
	return c.earned / c.owed
}

func newResult(cfg Config) *Result {
	return &Result{
		Pattern: cfg.Pattern.Name, Policy: cfg.Policy.Name,
		kinds:   make(map[string]*credit),
		windows: make([]credit, int((cfg.Pattern.Duration+WindowLength-1)/WindowLength)),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), figures),
	}
}

// credits returns the accounts that a request counts in.
func (r *Result) credits(q *request) []*credit {
	kind := r.kinds[q.kind.Name]
	if kind == nil {
		kind = &credit{}
		r.kinds[q.kind.Name] = kind
	}
	return []*credit{kind, &r.windows[int(q.first.Sub(start)/WindowLength)], &r.whole}
}

// asked counts a new request.
func (r *Result) asked(q *request) {
	r.Asked++
	for _, c := range r.credits(q) {
		c.owed += q.kind.Worth
	}
}

// ended counts the end of a request.
func (r *Result) ended(q *request, how End, now time.Time) {
	r.Requests[how]++
	if how != Served {
		return
	}
	took := now.Sub(q.first)
	_ = r.latency.RecordValue(min(took, maxLatency).Microseconds()) // within the bounds
	worth := q.kind.Late
	if took <= q.kind.Target {
		worth = q.kind.Worth
		r.InTime++
	}
	for _, c := range r.credits(q) {
		c.earned += worth
	}
}

// Total returns the number of requests.
func (r *Result) Total() int {
	n := 0
	for _, count := range r.Requests {
		n += count
	}
	return n
}

// ServedShare returns the share of requests that were served at all.
func (r *Result) ServedShare() float64 {
	return float64(r.Requests[Served]) / float64(max(r.Total(), 1))
}

// Credit returns the share of all credit that was earned.
func (r *Result) Credit() float64 {
	return r.whole.share()
}

// Worst returns the share of credit that was earned in the worst windows.
func (r *Result) Worst() float64 {
	sorted := slices.Clone(r.windows)
	slices.SortFunc(sorted, func(a, b credit) int { return cmp.Compare(a.share(), b.share()) })
	var sum credit
	for _, c := range sorted[:min(worstWindows, len(sorted))] {
		sum.earned += c.earned
		sum.owed += c.owed
	}
	return sum.share()
}

// Windows returns the share of credit that was earned in each window.
func (r *Result) Windows() []float64 {
	shares := make([]float64, len(r.windows))
	for i, c := range r.windows {
		shares[i] = c.share()
	}
	return shares
}

// Worth returns the weighted mean of the parts, from 0 to 1. It has no prices.
func (r *Result) Worth() float64 {
	kind := 1.0
	for _, c := range r.kinds {
		kind = min(kind, c.share())
	}
	return worstWeight*r.Worst() + wholeWeight*r.Credit() + servedWeight*r.ServedShare() + kindWeight*kind
}

// Quantile returns a quantile, in percent, of the latencies of served requests,
// counted from the first try.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}
