package bench

import (
	"math"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// latencyAlpha is the weight of one latency in the moving average.
	latencyAlpha = 0.1
	// errorAlpha is the weight of one outcome in the error rate.
	errorAlpha = 0.2
	// mispredictionAlpha and globalMispredictionAlpha are the weights of one
	// outcome in the misprediction rate of one server and of all servers.
	mispredictionAlpha       = 0.1
	globalMispredictionAlpha = 0.02
	// mispredictionPenalty is how fast the weight of reports falls with the
	// misprediction rate: at a quarter, they count for nothing.
	mispredictionPenalty = 4
	// recentErrorRate is the error rate above which the slots of a server that are
	// assigned to this gateway are no longer preferred. It is below the rate that a
	// single error leaves.
	recentErrorRate = 0.15
	// errorPenalty is the relative increase of the score of a server that always
	// fails.
	errorPenalty = 20
	// slowLatencyRatio is the latency, as a multiple of that of its peers, from
	// which a server ranks behind them.
	slowLatencyRatio = 2
	// healthHalfLife is the age at which the weight of latency and errors has
	// halved.
	healthHalfLife = 2 * time.Second
	// scoreStep is the step to which scores are rounded down; scores within one
	// step count as equal.
	scoreStep = 0.125
	// loadWeight is what the load of a full server adds to its score. A server with
	// less than this part of a slot free is not preferred.
	loadWeight = 0.5
	// minWarmUpWeight is the share of its full weight with which a server enters
	// slow start.
	minWarmUpWeight = 0.1
)

// server is the state that a Chooser keeps for one endpoint server.
type server struct {
	mustardsaddle.Server
	// inFlight is the number of this gateway's attempts in flight.
	inFlight int
	// assignedSlots is how many of the server's slots are assigned to this gateway.
	assignedSlots int

	report mustardsaddle.Report
	// otherLoad is the load from other gateways according to the last report.
	otherLoad float64
	// reportUses counts the choices since the last report.
	reportUses int
	// mispredictionRate is the moving average, from 0 to 1, of outcomes that
	// contradicted the last report.
	mispredictionRate float64

	// latency is the moving average of the latency, in seconds; 0 if unknown.
	latency float64
	// errorRate is the moving average of failed attempts, from 0 to 1.
	errorRate float64
	// samples counts the attempts in the averages.
	samples int

	// sampledAt is when an attempt was last added to the averages.
	sampledAt time.Time
	// removed is true for a server that left the roster while attempts were in
	// flight.
	removed bool
	// slowStartAt is when slow start began; zero for a warm server.
	slowStartAt time.Time
	// fullUntil is the time until which a server that shed counts as full.
	fullUntil time.Time
	// probedAt is when the server was last picked for a probe.
	probedAt time.Time

	ejection ejection
}

// slots returns how many requests the server runs concurrently.
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

// restart clears the state of the previous incarnation of the server's VM. Attempts
// in flight are kept, since they have yet to finish.
func (s *server) restart(now time.Time) {
	*s = server{Server: s.Server, inFlight: s.inFlight, assignedSlots: s.assignedSlots, slowStartAt: now}
}

// warmUpWeight grows from minWarmUpWeight to 1 during slow start.
func (c *Chooser) warmUpWeight(now time.Time, s *server) float64 {
	if s.slowStartAt.IsZero() || c.cfg.SlowStart <= 0 {
		return 1
	}
	return min(1, max(minWarmUpWeight, float64(now.Sub(s.slowStartAt))/float64(c.cfg.SlowStart)))
}

// attemptLimit returns how many of this gateway's attempts the server may hold.
func (c *Chooser) attemptLimit(now time.Time, s *server) int {
	return max(1, int(float64(s.slots()+c.cfg.Queue)*c.warmUpWeight(now, s)))
}

// reportedLoad returns the load from other gateways according to the last report,
// and the weight of that report. The weight falls with the age of the report and
// with the misprediction rates, and is 0 once the report has served a number of
// choices.
func (c *Chooser) reportedLoad(now time.Time, s *server) (otherLoad, weight float64) {
	if s.report.At.IsZero() || s.reportUses >= c.cfg.ReportUses {
		return 0, 0
	}
	age := max(0, now.Sub(s.report.At))
	return s.otherLoad, reportTrust(s.mispredictionRate) * reportTrust(c.mispredictionRate) * decay(age, c.cfg.ReportHalfLife)
}

// reportTrust returns the weight of reports at the given misprediction rate.
func reportTrust(mispredictionRate float64) float64 {
	return max(0, 1-mispredictionPenalty*mispredictionRate)
}

// estimatedLoad estimates the requests in the server: this gateway's own attempts,
// which are known, and those of other gateways. The lower the weight of the report,
// the more the mean over all servers replaces the latter.
func (c *Chooser) estimatedLoad(now time.Time, s *server) float64 {
	otherLoad, weight := c.reportedLoad(now, s)
	return float64(s.inFlight) + weight*otherLoad + (1-weight)*c.meanOtherLoad
}

// decay returns the exponentially decaying weight of a value of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// score returns the rank of a server, the lowest being best: the expected response
// time relative to its peers, increased by load, errors and slow start.
func (c *Chooser) score(now time.Time, s *server) float64 {
	slots := float64(s.slots())
	load := c.estimatedLoad(now, s) / slots
	score := 1 + loadWeight*load
	if load >= 1 {
		score += load - 1 + 1/slots
	}
	if ratio := c.latencyRatio(now, s); ratio >= slowLatencyRatio {
		score *= math.Exp2(math.Floor(math.Log2(ratio)))
	}
	score *= 1 + errorPenalty*s.errorRate*decay(now.Sub(s.sampledAt), healthHalfLife)
	score /= c.warmUpWeight(now, s)
	return math.Floor(score/scoreStep) * scoreStep
}

// degraded reports whether the server is much slower than its peers or has failed
// recently.
func (c *Chooser) degraded(now time.Time, s *server) bool {
	return c.latencyRatio(now, s) >= slowLatencyRatio || s.errorRate*decay(now.Sub(s.sampledAt), healthHalfLife) > recentErrorRate
}

// latencyRatio returns the server's latency as a multiple of the mean of its peers.
// Old measurements count less, so that a server that has recovered is tried again.
func (c *Chooser) latencyRatio(now time.Time, s *server) float64 {
	peers := c.latencyCount - 1
	if s.samples < minSamples || s.latency <= 0 || peers < 1 {
		return 1
	}
	mean := (c.latencySum - s.latency) / float64(peers)
	if mean <= 0 {
		return 1
	}
	return 1 + (s.latency/mean-1)*decay(now.Sub(s.sampledAt), healthHalfLife)
}

// updateAverages adds the result of an attempt to the averages.
func (c *Chooser) updateAverages(now time.Time, s *server, r mustardsaddle.Result) {
	latency := r.Latency.Seconds()
	if r.Canceled {
		// The time until the cancellation is a lower bound of the latency.
		if s.samples > 0 && latency > s.latency {
			c.setLatency(s, s.latency+latencyAlpha*(latency-s.latency))
		}
		return
	}
	s.sampledAt = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	s.errorRate += errorAlpha * (failed - s.errorRate)
	s.samples++
	switch {
	case r.Failed && latency <= s.latency:
		// A fast failure carries no information about the speed of the server.
	case s.latency == 0:
		c.setLatency(s, latency)
	default:
		c.setLatency(s, s.latency+latencyAlpha*(latency-s.latency))
	}
}

// setLatency replaces a server's latency and updates the totals over all servers.
func (c *Chooser) setLatency(s *server, latency float64) {
	c.latencySum += latency - s.latency
	if s.latency == 0 && latency > 0 {
		c.latencyCount++
	}
	if s.latency > 0 && latency == 0 {
		c.latencyCount--
	}
	s.latency = latency
}

// recordPrediction compares the last report with the result that followed. A
// misprediction is a server that looked idle and shed or was slow, or one that
// looked full and was fast.
func (c *Chooser) recordPrediction(now time.Time, s *server, r mustardsaddle.Result) {
	if s.report.At.IsZero() || r.Canceled {
		return
	}
	idle := s.otherLoad+float64(s.inFlight) < float64(s.slots())
	full := s.otherLoad >= float64(s.slots())
	ratio := c.latencyRatio(now, s)
	mispredicted := 0.0
	if (idle && (r.Shed || ratio >= slowLatencyRatio)) || (full && !r.Shed && !r.Failed && ratio < 1) {
		mispredicted = 1
	}
	s.mispredictionRate += mispredictionAlpha * (mispredicted - s.mispredictionRate)
	c.mispredictionRate += globalMispredictionAlpha * (mispredicted - c.mispredictionRate)
}
