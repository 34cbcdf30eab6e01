package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=End -output=end_string.go

// End is the final outcome of a request, after all retries of its caller.
type End int

const (
	// Served means that the caller got a successful response, within the target latency
	// or later.
	Served End = iota
	// Refused means that the request was refused and has not run.
	Refused
	// Failed means that the request failed, or may have run without a response.
	Failed
	// TimedOut means that the deadline passed.
	TimedOut
)

// numEnds is the number of End values.
const numEnds = int(TimedOut) + 1

const (
	// WindowLength is the length of the time windows over which value is summed.
	WindowLength = 2 * time.Second
	// worstWindows is the number of windows that Result.Worst covers.
	worstWindows = 2
	// maxLatency limits the latencies in the histogram.
	maxLatency = time.Minute
	// significantFigures is the precision of the histogram.
	significantFigures = 3
)

// The weights of the components of Result.Worth, as both users of the load balancer weigh
// them. They add up to 1.
const (
	// worstWeight is the weight of the value share in the worst windows.
	worstWeight = 0.4
	// overallWeight is the weight of the value share in the whole run.
	overallWeight = 0.28
	// servedWeight is the weight of the share of requests that were served at all.
	servedWeight = 0.2
	// classWeight is the weight of the value share of the worst request class.
	classWeight = 0.12
)

// Result holds the measurements of a run. Each response has a value, that of its
// request class; value shares are earned value relative to the value that would have
// been earned had every request been served within its target latency.
type Result struct {
	// Pattern and Policy are the names of the run's pattern and policy.
	Pattern string
	Policy  string
	// Asked is the number of new requests.
	Asked int
	// Requests counts the requests by their final outcome, InTime those served
	// within their target latency.
	Requests [numEnds]int
	InTime   int
	// Attempts is the number of attempts sent to servers, Questions that of load
	// queries.
	Attempts  int
	Questions int
	// Crossings and QuestionCrossings are those of them that went to another zone.
	Crossings, QuestionCrossings int

	classes map[string]*value
	zones   map[string]*value
	windows []value
	overall value
	latency *hdrhistogram.Histogram
}

// value is the earned value of some requests, and the most they could have earned.
type value struct {
	earned, possible float64
}

// share returns the earned share of the possible value, or 1 if there were no requests.
func (v value) share() float64 {
	if v.possible == 0 {
		return 1
	}
	return v.earned / v.possible
}

func newResult(cfg Config) *Result {
	return &Result{
		Pattern: cfg.Pattern.Name, Policy: cfg.Policy.Name,
		classes: make(map[string]*value),
		zones:   make(map[string]*value),
		windows: make([]value, int((cfg.Pattern.Duration+WindowLength-1)/WindowLength)),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
	}
}

// valuesOf returns the values to which a request contributes: those of its class, of its
// caller's zone, of the window in which it arrived, and of the whole run.
func (r *Result) valuesOf(req *request) []*value {
	class := r.classes[req.class.Name]
	if class == nil {
		class = &value{}
		r.classes[req.class.Name] = class
	}
	zone := r.zones[req.zone]
	if zone == nil {
		zone = &value{}
		r.zones[req.zone] = zone
	}
	return []*value{class, zone, &r.windows[int(req.arrived.Sub(epoch)/WindowLength)], &r.overall}
}

// recordArrival records a new request.
func (r *Result) recordArrival(req *request) {
	r.Asked++
	for _, v := range r.valuesOf(req) {
		v.possible += req.class.Value
	}
}

// recordEnd records the final outcome of a request.
func (r *Result) recordEnd(req *request, end End, now time.Time) {
	r.Requests[end]++
	if end != Served {
		return
	}
	latency := now.Sub(req.arrived)
	_ = r.latency.RecordValue(min(latency, maxLatency).Microseconds()) // within the bounds
	earned := req.class.LateValue
	if latency <= req.class.Target {
		earned = req.class.Value
		r.InTime++
	}
	for _, v := range r.valuesOf(req) {
		v.earned += earned
	}
}

// recordAttempt counts an attempt, and recordQuestion a load query.
func (r *Result) recordAttempt(crosses bool) {
	r.Attempts++
	if crosses {
		r.Crossings++
	}
}

func (r *Result) recordQuestion(crosses bool) {
	r.Questions++
	if crosses {
		r.QuestionCrossings++
	}
}

// Total returns the number of requests that have ended.
func (r *Result) Total() int {
	n := 0
	for _, count := range r.Requests {
		n += count
	}
	return n
}

// ServedShare returns the share of requests that were served, in time or late.
func (r *Result) ServedShare() float64 {
	return float64(r.Requests[Served]) / float64(max(r.Total(), 1))
}

// Credit returns the value share of the whole run.
func (r *Result) Credit() float64 {
	return r.overall.share()
}

// Worst returns the value share of the worst windows taken together.
func (r *Result) Worst() float64 {
	sorted := slices.Clone(r.windows)
	slices.SortFunc(sorted, func(a, b value) int { return cmp.Compare(a.share(), b.share()) })
	var sum value
	for _, v := range sorted[:min(worstWindows, len(sorted))] {
		sum.earned += v.earned
		sum.possible += v.possible
	}
	return sum.share()
}

// Windows returns the value share of each window, by the arrival of requests.
func (r *Result) Windows() []float64 {
	shares := make([]float64, len(r.windows))
	for i, v := range r.windows {
		shares[i] = v.share()
	}
	return shares
}

// Worth returns the overall score of the run, from 0 to 1: the weighted mean of its
// components. The cost of attempts and load queries is not part of it.
func (r *Result) Worth() float64 {
	worstClass := 1.0
	for _, v := range r.classes {
		worstClass = min(worstClass, v.share())
	}
	return worstWeight*r.Worst() + overallWeight*r.Credit() + servedWeight*r.ServedShare() + classWeight*worstClass
}

// ZoneCredit returns the value share of the callers in a zone, the first being 0.
func (r *Result) ZoneCredit(zone int) float64 {
	if v := r.zones[zoneOf(zone)]; v != nil {
		return v.share()
	}
	return 1
}

// Quantile returns a quantile, in percent, of the latencies of served requests,
// measured from the arrival of the request.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}
