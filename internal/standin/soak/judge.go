package soak

import (
	"fmt"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// Rule is a guarantee of docs/SPEC.md that Check verifies.
type Rule int

const (
	// AttemptOnce requires that an attempt runs at most once.
	AttemptOnce Rule = iota
	// RequestOnce requires that a request which must not be repeated runs at
	// most once.
	RequestOnce
	// NotRunIsTrue requires that a call reported as NotRun has not run and never
	// will.
	NotRunIsTrue
	// RanIsTrue requires that a call reported as Ran has run.
	RanIsTrue
	// OutcomeStated requires that each response states an outcome.
	OutcomeStated
	// OwnAnswer requires that a successful response is complete and belongs to
	// its request.
	OwnAnswer
	// Unbroken requires that a call gets a response unless a fault window
	// excuses it. The body must be complete unless the call is a download or the response
	// states no length: such a response is forwarded while it is received.
	Unbroken
	// InTime requires that a call gets its response by the deadline unless a
	// fault window excuses it.
	InTime
	// RetriesBounded requires that retries and hedges stay within their budgets.
	RetriesBounded
	// LeavingKept requires that a gateway sends no request to a server that has stated
	// in a response, which the gateway forwarded, that it is leaving.
	LeavingKept
	// LimitKept requires that a server gets no more requests from the gateways together than
	// the limit that it has stated allows, from those that have forwarded such a response.
	LimitKept
)

// Limits are the bounds that the guarantees refer to.
type Limits struct {
	// Deadline bounds the duration of a call. If it is 0, durations are not checked,
	// and InTime requires only that the caller's timeout does not expire.
	Deadline time.Duration
	// Progress is how long the body of a download may stall; a download may take
	// that much longer than Deadline.
	Progress time.Duration
	// RetryShare is the ratio of retries and hedges to calls that is allowed
	// within any Window, and Slack the number allowed in addition.
	RetryShare float64
	Window     time.Duration
	Slack      int
	// Drain is the time after which a gateway must heed that a server is leaving.
	Drain time.Duration
}

// Violation is a violated guarantee.
type Violation struct {
	Rule Rule
	// Request is the caller's request ID; empty if the violation does not
	// concern a single request.
	Request string
	// Detail describes the violation.
	Detail string
}

// String returns a one-line description.
func (v Violation) String() string {
	return fmt.Sprintf("%v %s: %s", v.Rule, v.Request, v.Detail)
}

// Check returns the violations found in a history.
func Check(h History, limits Limits) []Violation {
	chk := &checker{
		history:    h,
		limits:     limits,
		executions: make(map[string][]server.Execution),
		sends:      make(map[string]int),
	}
	for _, e := range h.Executions {
		chk.executions[e.Request] = append(chk.executions[e.Request], e)
	}
	for _, c := range h.Calls {
		chk.sends[c.ID]++
	}
	chk.checkAttempts()
	chk.checkRequests()
	for _, c := range h.Calls {
		chk.checkOutcome(c)
		chk.checkEnd(c)
	}
	chk.checkRetries()
	for _, l := range h.Leavings {
		chk.checkLeaving(l)
	}
	for _, l := range h.Limitings {
		chk.checkLimiting(l)
	}
	return chk.violations
}

// checker holds the state of one Check.
type checker struct {
	history History
	limits  Limits
	// executions holds the executions by request ID.
	executions map[string][]server.Execution
	// sends counts the sends by request ID.
	sends      map[string]int
	violations []Violation
}

func (chk *checker) addViolation(rule Rule, request, format string, args ...any) {
	chk.violations = append(chk.violations, Violation{Rule: rule, Request: request, Detail: fmt.Sprintf(format, args...)})
}

// checkAttempts checks AttemptOnce.
func (chk *checker) checkAttempts() {
	seen := make(map[string]server.Execution, len(chk.history.Executions))
	for _, e := range chk.history.Executions {
		if first, ok := seen[e.Attempt]; ok {
			chk.addViolation(AttemptOnce, e.Request, "attempt %s ran twice: on %s and on %s", e.Attempt, first.Server, e.Server)
		}
		seen[e.Attempt] = e
	}
}

// checkRequests checks RequestOnce.
func (chk *checker) checkRequests() {
	checked := make(map[string]bool)
	for _, c := range chk.history.Calls {
		if !c.Kind.AtMostOnce() || checked[c.ID] {
			continue
		}
		checked[c.ID] = true
		if runs := chk.executions[c.ID]; len(runs) > 1 {
			chk.addViolation(RequestOnce, c.ID, "%v call ran %d times: %v", c.Kind, len(runs), runs)
		}
	}
}

// checkOutcome checks the outcome that the caller received against the
// executions. If a request was sent several times, it is unknown which send
// ran, so NotRun is checked only for requests sent once.
func (chk *checker) checkOutcome(c Call) {
	if c.End != Answered {
		return
	}
	runs := chk.executions[c.ID]
	switch {
	case !c.HasOutcome:
		chk.addViolation(OutcomeStated, c.ID, "response with status %d states no outcome", c.Status)
	case c.Outcome == mustardsaddle.NotRun && chk.sends[c.ID] == 1 && len(runs) > 0:
		chk.addViolation(NotRunIsTrue, c.ID, "response with status %d states NotRun, but the request ran: %v", c.Status, runs)
	case c.reportedRan() && len(runs) == 0:
		chk.addViolation(RanIsTrue, c.ID, "response with status %d states Ran, but no server ran the request", c.Status)
	case c.reportedRan() && c.Status < 300 && !c.BodyMatches:
		chk.addViolation(OwnAnswer, c.ID, "response with status %d has a body that does not match the request", c.Status)
	}
}

// checkEnd checks that a call got a response, and in time.
func (chk *checker) checkEnd(c Call) {
	var mayFail, mayDelay bool
	for _, w := range chk.history.FaultWindows {
		if w.appliesTo(c) {
			mayFail = mayFail || w.MayFail
			mayDelay = mayDelay || w.MayDelay
		}
	}
	if mayFail {
		return
	}
	took := c.Ended.Sub(c.Sent)
	const format = "%v call through gateway %d ended as %v after %v; it was sent at %s"
	switch {
	case c.End == Broken, c.End == Cut && c.Kind != Download && !c.NoLength:
		chk.addViolation(Unbroken, c.ID, format, c.Kind, c.Gateway, c.End, took, formatTime(c.Sent))
	case !mayDelay && (c.End == TimedOut || chk.exceedsLimit(c, took)):
		chk.addViolation(InTime, c.ID, format, c.Kind, c.Gateway, c.End, took, formatTime(c.Sent))
	}
}

// exceedsLimit reports whether a call took longer than allowed.
func (chk *checker) exceedsLimit(c Call, took time.Duration) bool {
	limit := chk.limits.Deadline
	if c.Kind == Download {
		limit += chk.limits.Progress
	}
	return chk.limits.Deadline > 0 && took > limit
}

// formatTime formats a time as in the logs.
func formatTime(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

// checkRetries checks the budget of retries and hedges in each window that ends
// with an extra attempt. It reports only the first window that exceeds it.
func (chk *checker) checkRetries() {
	extra := extraAttempts(slices.Concat(chk.history.Executions, chk.history.Refusals))
	calls := make([]time.Time, 0, len(chk.history.Calls))
	for _, c := range chk.history.Calls {
		calls = append(calls, c.Sent)
	}
	slices.SortFunc(calls, time.Time.Compare)
	for i, at := range extra {
		from := at.Add(-chk.limits.Window)
		n := i + 1 - countBefore(extra, from)
		limit := chk.limits.RetryShare*float64(countBefore(calls, at)-countBefore(calls, from)) + float64(chk.limits.Slack)
		if float64(n) > limit {
			chk.addViolation(RetriesBounded, "", "%d retries and hedges in the %v before %s, want at most %.1f", n, chk.limits.Window, formatTime(at), limit)
			return
		}
	}
}

// extraAttempts returns the times, in order, of all executions and refusals other than
// the first of each request.
func extraAttempts(executions []server.Execution) []time.Time {
	sorted := slices.SortedFunc(slices.Values(executions), func(a, b server.Execution) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool, len(sorted))
	var extra []time.Time
	for _, e := range sorted {
		if seen[e.Request] {
			extra = append(extra, e.At)
		}
		seen[e.Request] = true
	}
	return extra
}

// countBefore returns the number of the sorted times that are before t.
func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
