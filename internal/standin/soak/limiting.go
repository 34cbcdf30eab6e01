package soak

import (
	"fmt"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	// limitSettled is the time from which a stated limit must be kept, limitNotice the time
	// after which a gateway that has forwarded a response that states it counts, and
	// limitWindow the length of the windows.
	limitSettled = 3 * time.Second
	limitNotice  = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	// limitFactor and limitSlack bound the requests in a window: the stated limit times
	// limitFactor, and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimiting checks LimitKept for one time during which a server stated a limit.
func (chk *checker) checkLimiting(l Limiting) {
	told := chk.toldOfLimit(l)
	var counted []time.Time
	for _, e := range chk.history.Executions {
		gateway := attemptGateway(e)
		since, ok := told[gateway]
		if !ok || !l.covers(e) || e.At.Before(l.From.Add(limitSettled)) || e.At.Before(since.Add(limitNotice)) ||
			chk.interrupted(gateway, since, e.At) {
			continue
		}
		counted = append(counted, e.At)
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := limitFactor*l.PerSecond*limitWindow.Seconds() + limitSlack
	for i, at := range counted {
		if n := i + 1 - countBefore(counted, at.Add(-limitWindow)); float64(n) > allowed {
			chk.addViolation(LimitKept, "", "%s, which had stated a limit of %g a second at %s, ran %d requests in the %v before %s, want at most %g",
				l.Server, l.PerSecond, formatTime(l.From), n, limitWindow, formatTime(at), allowed)
			return
		}
	}
}

// toldOfLimit returns when each gateway first got a response that stated the limit and was
// forwarded to its caller.
func (chk *checker) toldOfLimit(l Limiting) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, c := range chk.history.Calls {
		runs := chk.executions[c.ID]
		if chk.sends[c.ID] > 1 || len(runs) != 1 || !l.covers(runs[0]) || !c.reportedRan() {
			continue
		}
		gateway := attemptGateway(runs[0])
		if first, ok := told[gateway]; !ok || c.Ended.Before(first) {
			told[gateway] = c.Ended
		}
	}
	return told
}

// covers reports whether the server ran a request in this time.
func (l Limiting) covers(e server.Execution) bool {
	return e.Server == l.Server && !e.At.Before(l.From) && e.At.Before(l.To)
}

// attemptGateway returns the index of the gateway that sent an attempt, or -1.
func attemptGateway(e server.Execution) int {
	number := 0
	if _, err := fmt.Sscanf(e.Attempt, "gateway-%d-", &number); err != nil {
		return -1
	}
	return number - 1
}
