package survey

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// failureGain is the weight of one outcome in the mean of failures.
	failureGain = 0.35
	// outFailures is the mean of failures from which a server is taken out.
	outFailures = 0.55
	// outRefusals is how many sheds in a row for which the load gives no reason take a
	// server out.
	outRefusals = 3
	// firstOut is how long a server is out at first; each further time lasts twice
	// as long, up to maxOutShift doublings.
	firstOut    = time.Second
	maxOutShift = 3
	// silentQuestions is how many questions in a row without an answer make a
	// server silent, and silentPause how long it is not asked then.
	silentQuestions = 2
	silentPause     = 500 * time.Millisecond
	// gonePause is how long a server is passed over whose address another one has.
	gonePause = 3 * time.Second
	// usualSlowness is the slowness of a server that does not state it.
	usualSlowness = 1.0
)

// server is what a Survey knows of one server.
type server struct {
	mustardsaddle.Server
	// inFlight are this gateway's attempts.
	inFlight int
	// busy is the number of requests in the server: what it reported last, and the
	// attempts of this gateway that began and ended since.
	busy   int
	report mustardsaddle.Report
	// asked is when an open question was sent; zero if there is none.
	asked time.Time
	// probed is when the last probe was sent that no call needed.
	probed time.Time
	// missed counts questions in a row without an answer, the last at missedAt.
	missed   int
	missedAt time.Time
	// failures is the moving mean of failed attempts, from 0 to 1.
	failures float64
	// refusals counts sheds in a row for which the reported load gave no reason.
	refusals int
	outUntil time.Time
	outs     int
}

// slots returns how many requests the server runs at a time.
func (s *server) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return max(s.Slots, 1)
}

// free returns the number of free slots, below 0 if requests wait.
func (s *server) free() int {
	return s.slots() - s.busy
}

// hasRoom reports whether an attempt would run at once and come to an end in useful
// time: the last slot of a server above the given slowness stays free.
func (s *server) hasRoom(quick float64) bool {
	if s.slowness() > quick && s.slots() > 1 {
		return s.free() > 1
	}
	return s.free() > 0
}

// saysRoom reports whether the server has said after the given time that a slot is
// free.
func (s *server) saysRoom(since time.Time) bool {
	return s.report.At.After(since) && s.report.InFlight < s.slots()
}

// fresh reports whether the last report is young enough to decide.
func (s *server) fresh(now time.Time, limit time.Duration) bool {
	return !s.report.At.IsZero() && now.Sub(s.report.At) <= limit
}

// worthAsking reports whether a question would tell something new.
func (s *server) worthAsking(now time.Time, current time.Duration) bool {
	open := !s.asked.IsZero() && now.Sub(s.asked) < questionTimeout
	return !open && !s.fresh(now, current)
}

// silent reports whether the server has left questions unanswered lately.
func (s *server) silent(now time.Time) bool {
	return s.missed >= silentQuestions && now.Sub(s.missedAt) < silentPause
}

// slowness returns how long work takes as a multiple of the usual, as last reported.
func (s *server) slowness() float64 {
	if s.report.Slowness <= 0 {
		return usualSlowness
	}
	return s.report.Slowness
}

// score returns how long work is expected to take as a multiple of the usual. The
// lowest is best.
func (s *server) score(now time.Time, need mustardsaddle.Need) float64 {
	slowness := s.slowness()
	if now.Before(s.WarmAt) {
		slowness += coldCost
	}
	score := slowness
	if s.free() <= 1 && s.slots() > 1 {
		score += slowness * crowding
	}
	if waiting := -s.free() + 1; waiting > 0 {
		score += slowness * waitingCost * float64(waiting)
	}
	score += failureCost * s.failures
	if s.Zone != need.Zone {
		score += awayCost + awayByteCost*float64(need.Bytes)
	}
	return score
}

func (s *server) fail() {
	s.failures += (1 - s.failures) * failureGain
}

func (s *server) succeed() {
	s.refusals = 0
	s.failures -= s.failures * failureGain
	if s.failures < 1-outFailures {
		s.outs = 0
	}
}

// gone passes the server over for a while. What it reported is not its own.
func (s *server) gone(now time.Time) {
	s.report = mustardsaddle.Report{}
	s.outUntil = now.Add(gonePause)
}

// isOut reports whether the server is out at the given time.
func (s *server) isOut(now time.Time) bool {
	return now.Before(s.outUntil)
}

// takeOut takes the server out, each time for longer. What it failed before does
// not count again.
func (s *server) takeOut(now time.Time) {
	s.outUntil = now.Add(firstOut << min(s.outs, maxOutShift))
	s.outs++
	s.failures = outFailures / 2
}
