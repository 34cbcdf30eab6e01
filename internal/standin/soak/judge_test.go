package soak_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
	"mustardsaddle.example/mustardsaddle/internal/standin/soak"
)

// start is the start time of the histories.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time the given number of milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// ran returns a successful call that was reported as Ran.
func ran(id string, kind soak.CallKind) soak.Call {
	return soak.Call{
		ID: id, Kind: kind, Sent: at(0), Ended: at(100),
		Status: 200, Outcome: mustardsaddle.Ran, HasOutcome: true, BodyMatches: true,
	}
}

// notRun returns a call that was refused with the outcome NotRun.
func notRun(id string, kind soak.CallKind) soak.Call {
	c := ran(id, kind)
	c.Status, c.Outcome, c.BodyMatches = 503, mustardsaddle.NotRun, false
	return c
}

func execution(request, attempt string, ms int) server.Execution {
	return server.Execution{Server: "booking-00", Request: request, Attempt: attempt, At: at(ms)}
}

// violatedRules returns the sorted set of rules that are violated.
func violatedRules(violations []soak.Violation) []soak.Rule {
	var rules []soak.Rule
	for _, v := range violations {
		rules = append(rules, v.Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}

// A request that a gateway sends to a server after it has forwarded the server's statement
// that it is leaving must be found, and one that is excused must not.
func TestCheckLeaving(t *testing.T) {
	limits := soak.Limits{RetryShare: 1, Window: time.Second, Slack: 10, Drain: 2 * time.Second}
	leaving := []soak.Leaving{{Server: "booking-00", From: at(1000), To: at(9000)}}
	call := func(id string, gateway, sent int) soak.Call {
		c := ran(id, soak.Read)
		c.Gateway, c.Sent, c.Ended = gateway, at(sent), at(sent+100)
		return c
	}
	first := call("r1", 0, 1500)
	cases := []struct {
		name          string
		second        soak.Call
		interruptions []soak.Interruption
		want          []soak.Rule
	}{
		{"sent too late", call("r2", 0, 3700), nil, []soak.Rule{soak.LeavingKept}},
		{"sent in time", call("r2", 0, 3500), nil, nil},
		{"through a gateway that had not been told", call("r2", 1, 3700), nil, nil},
		{"after a restart of the gateway", call("r2", 0, 3700), []soak.Interruption{{Gateway: 0, From: at(2000), To: at(2500)}}, nil},
		{"after a restart of another gateway", call("r2", 0, 3700), []soak.Interruption{{Gateway: 1, From: at(2000), To: at(2500)}}, []soak.Rule{soak.LeavingKept}},
		{"after the server was replaced", call("r2", 0, 9100), nil, nil},
	}
	for _, c := range cases {
		secondAt := int(c.second.Sent.Sub(start).Milliseconds()) + 10
		h := soak.History{
			Calls: []soak.Call{first, c.second}, Leavings: leaving, Interruptions: c.interruptions,
			Executions: []server.Execution{execution("r1", "a1", 1510), execution("r2", "a2", secondAt)},
		}
		if got := violatedRules(soak.Check(h, limits)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got violations of %v, want %v", c.name, got, c.want)
		}
	}
}

// More requests to a server than the limit that it has stated must be found, and those that
// the rule does not cover must not.
func TestCheckLimiting(t *testing.T) {
	limits := soak.Limits{RetryShare: 1, Window: time.Second, Slack: 100}
	limiting := []soak.Limiting{{Server: "booking-00", From: at(1000), To: at(20000), PerSecond: 1}}
	cases := []struct {
		name          string
		n, every      int // number of requests from 6000 ms on, and the time between two of them
		gateway       string
		interruptions []soak.Interruption
		want          []soak.Rule
	}{
		{"too many", 12, 300, "gateway-1", nil, []soak.Rule{soak.LimitKept}},
		{"as many as allowed", 11, 300, "gateway-1", nil, nil},
		{"spread over more time", 20, 400, "gateway-1", nil, nil},
		{"from a gateway that had not been told", 12, 300, "gateway-2", nil, nil},
		{"after a restart of the gateway", 12, 300, "gateway-1", []soak.Interruption{{Gateway: 0, From: at(3000), To: at(3500)}}, nil},
	}
	for _, c := range cases {
		first := ran("r0", soak.Read)
		first.Sent, first.Ended = at(1500), at(1600)
		h := soak.History{
			Calls: []soak.Call{first}, Limitings: limiting, Interruptions: c.interruptions,
			Executions: []server.Execution{execution("r0", "gateway-1-a0", 1510)},
		}
		for i := range c.n {
			id := fmt.Sprintf("r%d", i+1)
			h.Executions = append(h.Executions, execution(id, fmt.Sprintf("%s-a%d", c.gateway, i+1), 6000+i*c.every))
			call := ran(id, soak.Booking)
			call.End, call.Sent = soak.GaveUp, at(6000+i*c.every)
			h.Calls = append(h.Calls, call)
		}
		if got := violatedRules(soak.Check(h, limits)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got violations of %v, want %v", c.name, got, c.want)
		}
	}
}

// Each row is a history and the rules that Check must find violated in it. A missed violation
// would hide a fault of the gateways, and a false one would fail a soak test without a fault.
func TestCheck(t *testing.T) {
	limits := soak.Limits{Deadline: time.Second, Progress: time.Second, RetryShare: 0.5, Window: 10 * time.Second, Slack: 1}
	once := []server.Execution{execution("r", "a", 10)}
	twice := []server.Execution{execution("r", "a", 10), execution("r", "b", 20)}
	with := func(c soak.Call, f func(*soak.Call)) soak.Call {
		f(&c)
		return c
	}
	failed := with(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.Broken })
	late := with(ran("r", soak.Read), func(c *soak.Call) { c.Ended = at(1500) })
	windowAfter := soak.FaultWindow{From: at(200), To: at(300), MayFail: true, MayDelay: true}
	windowDuring := soak.FaultWindow{From: at(50), To: at(300), MayFail: true}
	for _, c := range []struct {
		name       string
		calls      []soak.Call
		executions []server.Execution
		windows    []soak.FaultWindow
		violated   []soak.Rule
	}{
		{name: "a call that ran", calls: []soak.Call{ran("r", soak.Booking)}, executions: once},
		{name: "a call that was reported as NotRun and did not run", calls: []soak.Call{notRun("r", soak.Booking)}},
		{name: "an idempotent call that ran twice", calls: []soak.Call{ran("r", soak.Read)}, executions: twice},
		{name: "a booking that ran twice", calls: []soak.Call{ran("r", soak.Booking)}, executions: twice, violated: []soak.Rule{soak.RequestOnce}},
		{name: "a claimed request that ran twice", calls: []soak.Call{ran("r", soak.Claimed)}, executions: twice, violated: []soak.Rule{soak.RequestOnce}},
		{
			name: "an attempt that ran twice", calls: []soak.Call{ran("r", soak.Read)},
			executions: []server.Execution{execution("r", "a", 10), execution("r", "a", 20)}, violated: []soak.Rule{soak.AttemptOnce},
		},
		{name: "NotRun reported for a call that ran", calls: []soak.Call{notRun("r", soak.Read)}, executions: once, violated: []soak.Rule{soak.NotRunIsTrue}},
		{
			name: "NotRun reported for a call that ran later", calls: []soak.Call{notRun("r", soak.Read)},
			executions: []server.Execution{execution("r", "a", 5000)}, violated: []soak.Rule{soak.NotRunIsTrue},
		},
		{
			name:       "NotRun reported for one of two sends",
			calls:      []soak.Call{notRun("r", soak.Claimed), with(ran("r", soak.Claimed), func(c *soak.Call) { c.Try = 1 })},
			executions: once,
		},
		{name: "Ran reported for a call that did not run", calls: []soak.Call{ran("r", soak.Read)}, violated: []soak.Rule{soak.RanIsTrue}},
		{
			name: "a response without an outcome", executions: once,
			calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.HasOutcome = false })}, violated: []soak.Rule{soak.OutcomeStated},
		},
		{
			name: "the response to another request", executions: once,
			calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.BodyMatches = false })}, violated: []soak.Rule{soak.OwnAnswer},
		},
		{name: "a failed call", calls: []soak.Call{failed}, violated: []soak.Rule{soak.Unbroken}},
		{name: "a failed call before the fault window", calls: []soak.Call{failed}, windows: []soak.FaultWindow{windowAfter}, violated: []soak.Rule{soak.Unbroken}},
		{name: "a failed call in the fault window", calls: []soak.Call{failed}, windows: []soak.FaultWindow{windowDuring}},
		{
			name: "a failed call through another gateway than that of the fault window", calls: []soak.Call{failed},
			windows: []soak.FaultWindow{{Gateway: 1, From: at(50), To: at(300), MayFail: true}}, violated: []soak.Rule{soak.Unbroken},
		},
		{
			name: "a failed call that was sent before the listener closed", calls: []soak.Call{failed},
			windows: []soak.FaultWindow{{From: at(50), To: at(300), MayFail: true, SentWithin: true}}, violated: []soak.Rule{soak.Unbroken},
		},
		{
			name: "a failed call on an open connection just before the listener closes", calls: []soak.Call{failed},
			windows: []soak.FaultWindow{{From: at(0), To: at(300), MayFail: true, SentWithin: true, NewConnOnly: true}}, violated: []soak.Rule{soak.Unbroken},
		},
		{
			name:    "a failed call on a new connection just before the listener closes",
			calls:   []soak.Call{with(failed, func(c *soak.Call) { c.NewConn = true })},
			windows: []soak.FaultWindow{{From: at(0), To: at(300), MayFail: true, SentWithin: true, NewConnOnly: true}},
		},
		{
			name:  "a truncated download",
			calls: []soak.Call{with(ran("r", soak.Download), func(c *soak.Call) { c.End = soak.Cut })}, executions: once,
		},
		{
			name: "a truncated small response", executions: once,
			calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.End = soak.Cut })}, violated: []soak.Rule{soak.Unbroken},
		},
		{
			name:  "a response without a length ends early",
			calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.End, c.NoLength = soak.Cut, true })}, executions: once,
		},
		{
			name:  "a response without a length never arrives",
			calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.End, c.NoLength = soak.Broken, true })}, violated: []soak.Rule{soak.Unbroken},
		},
		{name: "a late response", calls: []soak.Call{late}, executions: once, violated: []soak.Rule{soak.InTime}},
		{name: "a late response in a fault window with delays", calls: []soak.Call{late}, executions: once, windows: []soak.FaultWindow{{From: at(50), To: at(60), MayDelay: true}}},
		{
			name: "a call that its caller abandoned", executions: once,
			calls: []soak.Call{with(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.GaveUp })},
		},
		{
			name: "a booking that ran twice and was abandoned", executions: twice,
			calls:    []soak.Call{with(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.GaveUp })},
			violated: []soak.Rule{soak.RequestOnce},
		},
		{
			name: "a call that timed out", calls: []soak.Call{with(ran("r", soak.Read), func(c *soak.Call) { c.End = soak.TimedOut })},
			violated: []soak.Rule{soak.InTime},
		},
		{
			name:  "more retries than the budget allows",
			calls: []soak.Call{ran("r", soak.Read), ran("s", soak.Read)},
			executions: []server.Execution{
				execution("r", "a", 10), execution("r", "b", 20), execution("r", "c", 30), execution("s", "d", 30), execution("s", "e", 40),
			},
			violated: []soak.Rule{soak.RetriesBounded},
		},
	} {
		convey.Convey(c.name, t, func() {
			got := soak.Check(soak.History{Calls: c.calls, Executions: c.executions, FaultWindows: c.windows}, limits)
			convey.So(violatedRules(got), convey.ShouldResemble, c.violated)
		})
	}
}
