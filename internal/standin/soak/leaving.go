package soak

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// checkLeaving checks LeavingKept for one time during which a server stated that it was
// leaving.
func (chk *checker) checkLeaving(l Leaving) {
	told := chk.toldGateways(l)
	for _, c := range chk.history.Calls {
		since, ok := told[c.Gateway]
		if !ok || chk.sends[c.ID] > 1 || !c.Sent.After(since.Add(chk.limits.Drain)) || chk.interrupted(c.Gateway, since, c.Sent) {
			continue
		}
		for _, e := range chk.executions[c.ID] {
			if l.covers(e) {
				chk.addViolation(LeavingKept, c.ID, "call through gateway %d, sent at %s, ran on %s, which had stated at %s that it was leaving",
					c.Gateway, formatTime(c.Sent), l.Server, formatTime(since))
			}
		}
	}
}

// toldGateways returns when each gateway first forwarded a response in which the server
// stated that it was leaving. Only requests that ran once are certain to have been answered
// by the server that ran them.
func (chk *checker) toldGateways(l Leaving) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, c := range chk.history.Calls {
		runs := chk.executions[c.ID]
		if chk.sends[c.ID] > 1 || len(runs) != 1 || !l.covers(runs[0]) || !c.reportedRan() {
			continue
		}
		if first, ok := told[c.Gateway]; !ok || c.Ended.Before(first) {
			told[c.Gateway] = c.Ended
		}
	}
	return told
}

// covers reports whether the server ran a request in this time.
func (l Leaving) covers(e server.Execution) bool {
	return e.Server == l.Server && !e.At.Before(l.From) && e.At.Before(l.To)
}

// interrupted reports whether a gateway was interrupted between two times.
func (chk *checker) interrupted(gateway int, from, to time.Time) bool {
	for _, i := range chk.history.Interruptions {
		if i.Gateway == gateway && !i.From.After(to) && !i.To.Before(from) {
			return true
		}
	}
	return false
}
