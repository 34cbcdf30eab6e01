package bench

import (
	"math"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// latencyGain is the weight of a new latency in the moving average.
	latencyGain = 0.1
	// errorGain is the weight of a new outcome in the share of errors.
	errorGain = 0.2
	// surpriseGain and commonSurpriseGain are the weights of a new outcome in the
	// share of outcomes that a report did not foresee, for one server and for all.
	surpriseGain       = 0.1
	commonSurpriseGain = 0.02
	// surpriseCost is how fast trust falls with that share: at a quarter, a
	// report counts for nothing.
	surpriseCost = 4
	// recentError is the share of errors from which a server's own slots are no
	// longer preferred: less than one error leaves.
	recentError = 0.15
	// errorPenalty multiplies the score of a server that always fails.
	errorPenalty = 20
	// slowRatio is the latency, as a multiple of the peers', from which a
	// server ranks behind them.
	slowRatio = 2
	// healthHalfLife is the age at which latency and errors count half.
	healthHalfLife = 2 * time.Second
	// scoreStep is the difference below which two scores count as equal.
	scoreStep = 0.125
	// hotScore is the part of the score that a last free slot adds.
	hotScore = 0.5
	// minWarmth is the share of its weight that a cold server starts with.
	minWarmth = 0.1
)

// server is what this gateway knows of one endpoint server.
type server struct {
	mustardsaddle.Server
	// inFlight counts this gateway's own attempts.
	inFlight int
	// owned is how many of the slots are assigned to this gateway.
	owned int

	report mustardsaddle.Report
	// others is the load of other gateways by the last report.
	others float64
	// uses counts the choices since the last report.
	uses int
	// surprise is the share of outcomes that the report did not foresee.
	surprise float64

	// latency is the moving average of successful attempts, in seconds.
	latency float64
	// errors is the moving share of failed attempts.
	errors float64
	// samples counts the attempts in the averages.
	samples int

	// learned is when the averages last took in an attempt.
	learned time.Time
	// gone is true for a server that left the roster with attempts in flight.
	gone bool
	// since is when the slow start began; zero for a warm server.
	since time.Time
	// fullUntil is how long a shed server counts as full.
	fullUntil time.Time
	// probed is when the server was last picked for a probe.
	probed time.Time

	ejection ejection
}

// slots returns how many requests the server runs at a time.
func (s *server) slots() int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case s.report.Slots > 0:
		return s.report.Slots
	default:
		return 1
	}
}

// restart forgets what belonged to an earlier life of the server's VM. Attempts
// in flight still have to finish.
func (s *server) restart(now time.Time) {
	*s = server{Server: s.Server, inFlight: s.inFlight, owned: s.owned, since: now}
}

// warmth grows from minWarmth to 1 over the slow start.
func (b *Bench) warmth(now time.Time, s *server) float64 {
	if s.since.IsZero() || b.cfg.SlowStart <= 0 {
		return 1
	}
	return min(1, max(minWarmth, float64(now.Sub(s.since))/float64(b.cfg.SlowStart)))
}

// limit is how many of this gateway's attempts the server may hold.
func (b *Bench) limit(now time.Time, s *server) int {
	return max(1, int(float64(s.slots()+b.cfg.Queue)*b.warmth(now, s)))
}

// reported returns the load of other gateways by the last report, and its
// weight. The report counts less the older it is, and the less trust reports of
// the server have earned; it serves a bounded number of choices.
func (b *Bench) reported(now time.Time, s *server) (others, weight float64) {
	if s.report.At.IsZero() || s.uses >= b.cfg.ReportUses {
		return 0, 0
	}
	age := max(0, now.Sub(s.report.At))
	return s.others, trust(s.surprise) * trust(b.surprise) * halved(age, b.cfg.ReportHalfLife)
}

// trust returns the weight of reports with the given share of surprises.
func trust(surprise float64) float64 {
	return max(0, 1-surpriseCost*surprise)
}

// load estimates the requests in the server: the own attempts, which are known,
// and those of other gateways, for which the mean over all servers fills what
// the report leaves open.
func (b *Bench) load(now time.Time, s *server) float64 {
	others, weight := b.reported(now, s)
	return float64(s.inFlight) + weight*others + (1-weight)*b.others
}

// halved returns the weight of something of the given age.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// score orders servers, the lowest first: expected time relative to the peers,
// raised by load, errors and a slow start.
func (b *Bench) score(now time.Time, s *server) float64 {
	slots := float64(s.slots())
	load := b.load(now, s) / slots
	score := 1 + hotScore*load
	if load >= 1 {
		score += load - 1 + 1/slots
	}
	if ratio := b.ratio(now, s); ratio >= slowRatio {
		score *= math.Exp2(math.Floor(math.Log2(ratio)))
	}
	score *= 1 + errorPenalty*s.errors*halved(now.Sub(s.learned), healthHalfLife)
	score /= b.warmth(now, s)
	return math.Floor(score/scoreStep) * scoreStep
}

// slow reports whether the server is much slower than its peers, or has failed a
// moment ago.
func (b *Bench) slow(now time.Time, s *server) bool {
	return b.ratio(now, s) >= slowRatio || s.errors*halved(now.Sub(s.learned), healthHalfLife) > recentError
}

// ratio compares the server's latency with the mean of its peers. What was
// learned long ago counts less, so that a server which recovered is tried again.
func (b *Bench) ratio(now time.Time, s *server) float64 {
	peers := b.measured - 1
	if s.samples < minSamples || s.latency <= 0 || peers < 1 {
		return 1
	}
	mean := (b.latencies - s.latency) / float64(peers)
	if mean <= 0 {
		return 1
	}
	return 1 + (s.latency/mean-1)*halved(now.Sub(s.learned), healthHalfLife)
}

// learn takes an attempt's outcome into the averages.
func (b *Bench) learn(now time.Time, s *server, r mustardsaddle.Result) {
	latency := r.Latency.Seconds()
	if r.Canceled {
		// The time until the cancellation is a lower bound of the latency.
		if s.samples > 0 && latency > s.latency {
			b.setLatency(s, s.latency+latencyGain*(latency-s.latency))
		}
		return
	}
	s.learned = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	s.errors += errorGain * (failed - s.errors)
	s.samples++
	switch {
	case r.Failed && latency <= s.latency:
		// A fast failure says nothing about the speed of the server.
	case s.latency == 0:
		b.setLatency(s, latency)
	default:
		b.setLatency(s, s.latency+latencyGain*(latency-s.latency))
	}
}

// setLatency replaces a server's latency and keeps the sum over all servers.
func (b *Bench) setLatency(s *server, latency float64) {
	b.latencies += latency - s.latency
	if s.latency == 0 && latency > 0 {
		b.measured++
	}
	if s.latency > 0 && latency == 0 {
		b.measured--
	}
	s.latency = latency
}

// judge compares the last report with what followed: a shed server that looked
// idle, or a slow one that looked idle, or a quick one that looked full.
func (b *Bench) judge(now time.Time, s *server, r mustardsaddle.Result) {
	if s.report.At.IsZero() || r.Canceled {
		return
	}
	idle := s.others+float64(s.inFlight) < float64(s.slots())
	full := s.others >= float64(s.slots())
	ratio := b.ratio(now, s)
	surprise := 0.0
	if (idle && (r.Shed || ratio >= slowRatio)) || (full && !r.Shed && !r.Failed && ratio < 1) {
		surprise = 1
	}
	s.surprise += surpriseGain * (surprise - s.surprise)
	b.surprise += commonSurpriseGain * (surprise - b.surprise)
}
