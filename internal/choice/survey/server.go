package survey

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// failureAlpha is the weight of one outcome in the moving average of failures.
	failureAlpha = 0.35
	// ejectFailureRate is the moving average of failures from which a server is
	// ejected.
	ejectFailureRate = 0.55
	// ejectSheds is the number of consecutive sheds not explained by the reported
	// load after which a server is ejected.
	ejectSheds = 3
	// baseEjection is the duration of the first ejection. Each further ejection
	// lasts twice as long, up to maxEjectionDoublings doublings.
	baseEjection         = time.Second
	maxEjectionDoublings = 3
	// unresponsiveQueries is the number of consecutive load queries without a
	// reply after which a server counts as unresponsive. It is then not queried or
	// chosen for unresponsivePause.
	unresponsiveQueries = 2
	unresponsivePause   = 500 * time.Millisecond
	// addressTakenPause is how long a server is excluded after another server
	// answered at its address.
	addressTakenPause = 3 * time.Second
	// limitedReportAge is the age from which the last report of a server that may not be
	// queried is discarded.
	limitedReportAge = 2 * time.Second
	// recheckInterval is the time without a response after which a limited server is
	// preferred, and recheckScore its score, which is lower than any other.
	recheckInterval = 5 * time.Second
	recheckScore    = 0
	// nominalSlowness is the slowness assumed for a server that does not report it.
	nominalSlowness = 1.0
)

// server is the state that a Chooser keeps for one server.
type server struct {
	mustardsaddle.Server
	// inFlight is the number of this gateway's attempts in flight.
	inFlight int
	// load estimates the requests in the server: the number in its last report,
	// adjusted by the attempts of this gateway that began or ended since.
	load   int
	report mustardsaddle.Report
	// respondedAt is when the server last responded to an attempt or a load query.
	respondedAt time.Time
	// queriedAt is when the pending load query was sent; zero if there is none.
	queriedAt time.Time
	// probedAt is when the server was last picked for a probe.
	probedAt time.Time
	// missedQueries counts consecutive load queries without a reply, the last of
	// them at missedAt.
	missedQueries int
	missedAt      time.Time
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// unexplainedSheds counts consecutive sheds that the reported load does not
	// explain.
	unexplainedSheds int
	ejectedUntil     time.Time
	ejections        int
}

// slots returns how many requests the server runs concurrently.
func (s *server) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return max(s.Slots, 1)
}

// freeSlots returns the number of free slots. It is negative if requests are queued
// in the server.
func (s *server) freeSlots() int {
	return s.slots() - s.load
}

// hasCapacity reports whether an attempt would start at once and is likely to finish
// before its caller's timeout. The last slot of a server whose slowness is above
// slowLimit stays free.
func (s *server) hasCapacity(slowLimit float64) bool {
	if s.slowness() > slowLimit && s.slots() > 1 {
		return s.freeSlots() > 1
	}
	return s.freeSlots() > 0
}

// reportsCapacity reports whether the server has reported a free slot after the
// given time.
func (s *server) reportsCapacity(since time.Time) bool {
	return s.report.At.After(since) && s.report.InFlight < s.slots()
}

// fresh reports whether the last report is no older than limit.
func (s *server) fresh(now time.Time, limit time.Duration) bool {
	return !s.report.At.IsZero() && now.Sub(s.report.At) <= limit
}

// needsQuery reports whether a load query would bring new information: none is
// pending and the last report is older than minAge.
func (s *server) needsQuery(now time.Time, minAge time.Duration) bool {
	pending := !s.queriedAt.IsZero() && now.Sub(s.queriedAt) < queryTimeout
	return !pending && !s.fresh(now, minAge)
}

// unresponsive reports whether the server has recently left consecutive load
// queries unanswered.
func (s *server) unresponsive(now time.Time) bool {
	return s.missedQueries >= unresponsiveQueries && now.Sub(s.missedAt) < unresponsivePause
}

// discardOldReport makes the choice of a server that may not be queried independent of a
// report that is out of date: its load from one older than maxLoadAge, and all of one
// older than limitedReportAge.
func (s *server) discardOldReport(now time.Time, maxLoadAge time.Duration) {
	if !s.fresh(now, maxLoadAge) {
		s.load = s.inFlight
	}
	if !s.fresh(now, limitedReportAge) {
		s.report = mustardsaddle.Report{}
	}
}

// needsRecheck reports whether the server has not responded for recheckInterval.
func (s *server) needsRecheck(now time.Time) bool {
	return now.Sub(s.respondedAt) >= recheckInterval
}

// slowness returns the last reported processing time as a multiple of the usual
// one.
func (s *server) slowness() float64 {
	if s.report.Slowness <= 0 {
		return nominalSlowness
	}
	return s.report.Slowness
}

// score returns the expected processing time as a multiple of the usual one, without the
// price of its zone. Cold is true for a server that is known to warm up.
func (s *server) score(now time.Time, cold bool) float64 {
	slowness := s.slowness()
	if cold || s.Cold(now) {
		slowness += warmUpCost
	}
	score := slowness
	if s.freeSlots() <= 1 && s.slots() > 1 {
		score += slowness * lastSlotCost
	}
	if waiting := -s.freeSlots() + 1; waiting > 0 {
		score += slowness * queueCost * float64(waiting)
	}
	return score + failureCost*s.failureRate
}

func (s *server) recordFailure() {
	s.failureRate += (1 - s.failureRate) * failureAlpha
}

func (s *server) recordSuccess() {
	s.unexplainedSheds = 0
	s.failureRate -= s.failureRate * failureAlpha
	if s.failureRate < 1-ejectFailureRate {
		s.ejections = 0
	}
}

// markAddressTaken excludes the server for addressTakenPause and discards its last
// report, which may have come from another server.
func (s *server) markAddressTaken(now time.Time) {
	s.report = mustardsaddle.Report{}
	s.ejectedUntil = now.Add(addressTakenPause)
}

// isEjected reports whether the server is ejected at the given time.
func (s *server) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

// eject excludes the server, each time for longer. It lowers the failure rate, so
// that the failures before the ejection do not soon cause another one.
func (s *server) eject(now time.Time) {
	s.ejectedUntil = now.Add(baseEjection << min(s.ejections, maxEjectionDoublings))
	s.ejections++
	s.failureRate = ejectFailureRate / 2
}
