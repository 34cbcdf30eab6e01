package soak

import (
	"fmt"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// Rule is a promise of docs/SPEC.md.
type Rule int

const (
	// AttemptOnce says that an attempt runs once at most.
	AttemptOnce Rule = iota
	// RequestOnce says that a request that must not be repeated runs once at most.
	RequestOnce
	// NotRunIsTrue says that a call that is told NotRun has not run and never will.
	NotRunIsTrue
	// RanIsTrue says that a call that is told Ran has run.
	RanIsTrue
	// OutcomeStated says that each answer states its outcome.
	OutcomeStated
	// OwnAnswer says that a successful answer is whole and that of its request.
	OwnAnswer
	// Unbroken says that a call gets an answer from a gateway that is not disturbed.
	Unbroken
	// InTime says that it gets the answer by its deadline.
	InTime
	// RetriesBounded says that retries and hedges stay in their budgets.
	RetriesBounded
)

// Promise holds the bounds of the promises.
type Promise struct {
	// Deadline bounds calls other than downloads, and downloads until their answer
	// begins. 0 bounds nothing.
	Deadline time.Duration
	// Progress bounds the time in which a download stands still.
	Progress time.Duration
	// RetryShare is the share of retries and hedges in the calls of a Window, and
	// Slack how many may come on top.
	RetryShare float64
	Window     time.Duration
	Slack      int
}

// Violation is a promise that was not kept.
type Violation struct {
	Rule Rule
	// Request is the caller's name of the request, if it concerns one.
	Request string
	// Text says what was seen.
	Text string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v %s: %s", v.Rule, v.Request, v.Text)
}

// Judge returns the promises that were not kept.
func Judge(h History, p Promise) []Violation {
	j := &judge{
		history:   h,
		promise:   p,
		byRequest: make(map[string][]server.Execution),
		tries:     make(map[string]int),
	}
	for _, e := range h.Executions {
		j.byRequest[e.Request] = append(j.byRequest[e.Request], e)
	}
	for _, c := range h.Calls {
		j.tries[c.ID]++
	}
	j.attempts()
	j.requests()
	for _, c := range h.Calls {
		j.outcome(c)
		j.end(c)
	}
	j.retries()
	return j.violations
}

type judge struct {
	history   History
	promise   Promise
	byRequest map[string][]server.Execution
	// tries counts the sends of each request.
	tries      map[string]int
	violations []Violation
}

func (j *judge) add(rule Rule, request, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, Request: request, Text: fmt.Sprintf(format, args...)})
}

// attempts checks that no attempt ran twice.
func (j *judge) attempts() {
	seen := make(map[string]server.Execution, len(j.history.Executions))
	for _, e := range j.history.Executions {
		if first, ok := seen[e.Attempt]; ok {
			j.add(AttemptOnce, e.Request, "attempt %s ran on %s and on %s", e.Attempt, first.Server, e.Server)
		}
		seen[e.Attempt] = e
	}
}

// requests checks that nothing ran twice that must run once at most.
func (j *judge) requests() {
	checked := make(map[string]bool)
	for _, c := range j.history.Calls {
		if !c.Kind.Once() || checked[c.ID] {
			continue
		}
		checked[c.ID] = true
		if runs := j.byRequest[c.ID]; len(runs) > 1 {
			j.add(RequestOnce, c.ID, "%v ran %d times: %v", c.Kind, len(runs), runs)
		}
	}
}

// outcome checks what a call was told against what servers did. Of a request that
// was sent several times, nobody can say which send ran, so that NotRun is checked
// for single sends.
func (j *judge) outcome(c Call) {
	if c.End != Answered {
		return
	}
	runs := j.byRequest[c.ID]
	switch {
	case !c.Stated:
		j.add(OutcomeStated, c.ID, "status %d without an outcome", c.Status)
	case c.Outcome == mustardsaddle.NotRun && j.tries[c.ID] == 1 && len(runs) > 0:
		j.add(NotRunIsTrue, c.ID, "status %d says NotRun, but it ran: %v", c.Status, runs)
	case c.ran() && len(runs) == 0:
		j.add(RanIsTrue, c.ID, "status %d says Ran, but no server ran it", c.Status)
	case c.ran() && c.Status < 300 && !c.Own:
		j.add(OwnAnswer, c.ID, "status %d with a body that is not its own", c.Status)
	}
}

// end checks that a call had an answer, and in time.
func (j *judge) end(c Call) {
	var breaks, delays bool
	for _, t := range j.history.Troubles {
		if t.covers(c) {
			breaks = breaks || t.Breaks
			delays = delays || t.Delays
		}
	}
	if breaks {
		return
	}
	took := c.Ended.Sub(c.Sent)
	const seen = "%v through gateway %d: %v after %v, sent %s"
	switch {
	case c.End == Broken, c.End == Cut && c.Kind != Download:
		j.add(Unbroken, c.ID, seen, c.Kind, c.Gateway, c.End, took, clock(c.Sent))
	case !delays && (c.End == TimedOut || j.late(c, took)):
		j.add(InTime, c.ID, seen, c.Kind, c.Gateway, c.End, took, clock(c.Sent))
	}
}

// late reports whether a call took longer than is promised.
func (j *judge) late(c Call, took time.Duration) bool {
	bound := j.promise.Deadline
	if c.Kind == Download {
		bound += j.promise.Progress
	}
	return j.promise.Deadline > 0 && took > bound
}

// clock returns a time as it stands in logs.
func clock(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

// retries checks the budget of retries and hedges in each window that ends with
// an attempt.
func (j *judge) retries() {
	extra := extraAttempts(j.history.Executions)
	calls := make([]time.Time, 0, len(j.history.Calls))
	for _, c := range j.history.Calls {
		calls = append(calls, c.Sent)
	}
	slices.SortFunc(calls, time.Time.Compare)
	for i, at := range extra {
		from := at.Add(-j.promise.Window)
		n := i + 1 - before(extra, from)
		bound := j.promise.RetryShare*float64(before(calls, at)-before(calls, from)) + float64(j.promise.Slack)
		if float64(n) > bound {
			j.add(RetriesBounded, "", "%d retries and hedges in the %v before %s, want at most %.1f", n, j.promise.Window, clock(at), bound)
			return
		}
	}
}

// extraAttempts returns the times of all executions that were not the first of
// their request, in order.
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

// before returns how many of the sorted times lie before t.
func before(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
