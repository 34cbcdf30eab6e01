package bench

import (
	"time"
)

const (
	// minSamples is how many attempts a judgement of a server needs.
	minSamples = 5
	// ejectErrors is the share of errors from which a server is ejected.
	ejectErrors = 0.6
	// ejectRatio is the latency, as a multiple of the peers', from which a
	// server is ejected.
	ejectRatio = 4
	// firstEjection is how long the first ejection lasts at least; each further
	// one lasts twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 32 * time.Second
	// forgiveAfter is the time in service after which earlier ejections no
	// longer count.
	forgiveAfter = time.Minute
	// probeGrace is how long an ejection waits for the report of a probe before
	// the server is tried by a call, of which a cold server holds one at a time.
	// In a large fleet, the turn of one gateway to probe may take longer.
	probeGrace = 5 * time.Second
)

// ejection is the state of a server that was taken out of the choice.
type ejection struct {
	// active is true while the server is out.
	active bool
	// until is when a report may end the ejection.
	until time.Time
	// admitted is when the last ejection ended.
	admitted time.Time
	// count is the number of ejections that count for the backoff.
	count int
}

// eject takes a server out if it fails or is a straggler, as long as the share
// of ejected servers stays bounded.
func (b *Bench) eject(now time.Time, s *server) {
	if s.ejection.active || s.samples < minSamples {
		return
	}
	if s.errors < ejectErrors && b.ratio(now, s) < ejectRatio {
		return
	}
	if b.ejected+1 > b.ejectable() {
		return
	}
	e := &s.ejection
	if now.Sub(e.admitted) > forgiveAfter {
		e.count = 0
	}
	e.active = true
	e.until = now.Add(min(maxEjection, firstEjection<<min(e.count, 8)))
	e.count++
	b.ejected++
}

// ejectable is how many servers may be out at a time.
func (b *Bench) ejectable() int {
	return int(b.cfg.MaxEjected * float64(len(b.servers)))
}

// admit takes an ejected server back, cold and without its old averages.
func (b *Bench) admit(now time.Time, s *server) {
	if !s.ejection.active {
		return
	}
	b.ejected--
	s.ejection.active = false
	s.ejection.admitted = now
	s.errors, s.samples = 0, 0
	b.setLatency(s, 0)
	s.since = now
}

// out reports whether the server is ejected at the given time, and takes it
// back once its probe is overdue.
func (b *Bench) out(now time.Time, s *server) bool {
	if s.ejection.active && now.After(s.ejection.until.Add(probeGrace)) {
		b.admit(now, s)
	}
	return s.ejection.active
}
