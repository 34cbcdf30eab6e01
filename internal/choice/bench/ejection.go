package bench

import (
	"time"
)

const (
	// minSamples is the number of attempts required before a server can be ejected.
	minSamples = 5
	// ejectErrorRate is the error rate from which a server is ejected.
	ejectErrorRate = 0.6
	// ejectLatencyRatio is the latency, as a multiple of that of its peers, from
	// which a server is ejected.
	ejectLatencyRatio = 4
	// baseEjection is the minimum duration of the first ejection. Each further
	// ejection lasts twice as long, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 32 * time.Second
	// ejectionResetAfter is the time in service after which earlier ejections no
	// longer count towards the backoff.
	ejectionResetAfter = time.Minute
	// probeTimeout is how long an ended ejection waits for the report of a probe.
	// After that the server is readmitted without one and tried with calls, which
	// slow start limits at first to one at a time if the server has few slots. In a
	// large fleet, this gateway's next probe of the server may come later than that.
	probeTimeout = 5 * time.Second
)

// ejection is the outlier ejection state of a server.
type ejection struct {
	// active is true while the server is ejected.
	active bool
	// until is the time from which a report may end the ejection.
	until time.Time
	// readmittedAt is when the last ejection ended.
	readmittedAt time.Time
	// count is the number of earlier ejections that lengthen the next one.
	count int
}

// eject ejects a server whose error rate or latency is too high, provided that the
// share of ejected servers stays within its bound.
func (c *Chooser) eject(now time.Time, s *server) {
	if s.ejection.active || s.samples < minSamples {
		return
	}
	if s.errorRate < ejectErrorRate && c.latencyRatio(now, s) < ejectLatencyRatio {
		return
	}
	if c.ejectedCount+1 > c.maxEjected() {
		return
	}
	e := &s.ejection
	if now.Sub(e.readmittedAt) > ejectionResetAfter {
		e.count = 0
	}
	e.active = true
	e.until = now.Add(min(maxEjection, baseEjection<<min(e.count, 8)))
	e.count++
	c.ejectedCount++
}

// maxEjected returns how many servers may be ejected at a time.
func (c *Chooser) maxEjected() int {
	return int(c.cfg.MaxEjected * float64(len(c.servers)))
}

// readmit ends an ejection. The server starts again with slow start and without its
// previous averages.
func (c *Chooser) readmit(now time.Time, s *server) {
	if !s.ejection.active {
		return
	}
	c.ejectedCount--
	s.ejection.active = false
	s.ejection.readmittedAt = now
	s.errorRate, s.samples = 0, 0
	c.setLatency(s, 0)
	s.slowStartAt = now
}

// isEjected reports whether the server is ejected at the given time. It readmits
// the server if its probe is overdue.
func (c *Chooser) isEjected(now time.Time, s *server) bool {
	if s.ejection.active && now.After(s.ejection.until.Add(probeTimeout)) {
		c.readmit(now, s)
	}
	return s.ejection.active
}
