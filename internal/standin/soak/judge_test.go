package soak_test

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
	"mustardsaddle.example/mustardsaddle/internal/standin/soak"
)

// start is when the histories of these tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time some milliseconds after the start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// ran returns a call that was answered as promised.
func ran(id string, kind soak.CallKind) soak.Call {
	return soak.Call{
		ID: id, Kind: kind, Sent: at(0), Ended: at(100),
		Status: 200, Outcome: mustardsaddle.Ran, Stated: true, Own: true,
	}
}

// refused returns a call that was told NotRun.
func refused(id string, kind soak.CallKind) soak.Call {
	c := ran(id, kind)
	c.Status, c.Outcome, c.Own = 503, mustardsaddle.NotRun, false
	return c
}

func execution(request, attempt string, ms int) server.Execution {
	return server.Execution{Server: "booking-00", Request: request, Attempt: attempt, At: at(ms)}
}

// rulesOf returns the rules that violations break, each once, in order.
func rulesOf(violations []soak.Violation) []soak.Rule {
	var rules []soak.Rule
	for _, v := range violations {
		rules = append(rules, v.Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}

func TestJudge(t *testing.T) {
	promise := soak.Promise{Deadline: time.Second, Progress: time.Second, RetryShare: 0.5, Window: 10 * time.Second, Slack: 1}
	once := []server.Execution{execution("r", "a", 10)}
	twice := []server.Execution{execution("r", "a", 10), execution("r", "b", 20)}
	change := func(c soak.Call, f func(*soak.Call)) soak.Call {
		f(&c)
		return c
	}
	broken := change(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.Broken })
	late := change(ran("r", soak.Read), func(c *soak.Call) { c.Ended = at(1500) })
	outside := soak.Trouble{From: at(200), To: at(300), Breaks: true, Delays: true}
	inside := soak.Trouble{From: at(50), To: at(300), Breaks: true}
	for _, c := range []struct {
		name       string
		calls      []soak.Call
		executions []server.Execution
		troubles   []soak.Trouble
		broken     []soak.Rule
	}{
		{name: "a call that ran", calls: []soak.Call{ran("r", soak.Booking)}, executions: once},
		{name: "a call that was refused", calls: []soak.Call{refused("r", soak.Booking)}},
		{name: "a read that was sent to two servers", calls: []soak.Call{ran("r", soak.Read)}, executions: twice},
		{name: "a booking that ran twice", calls: []soak.Call{ran("r", soak.Booking)}, executions: twice, broken: []soak.Rule{soak.RequestOnce}},
		{name: "a claimed request that ran twice", calls: []soak.Call{ran("r", soak.Claimed)}, executions: twice, broken: []soak.Rule{soak.RequestOnce}},
		{
			name: "an attempt that ran twice", calls: []soak.Call{ran("r", soak.Read)},
			executions: []server.Execution{execution("r", "a", 10), execution("r", "a", 20)}, broken: []soak.Rule{soak.AttemptOnce},
		},
		{name: "NotRun of a call that ran", calls: []soak.Call{refused("r", soak.Read)}, executions: once, broken: []soak.Rule{soak.NotRunIsTrue}},
		{
			name: "NotRun of a call that ran later", calls: []soak.Call{refused("r", soak.Read)},
			executions: []server.Execution{execution("r", "a", 5000)}, broken: []soak.Rule{soak.NotRunIsTrue},
		},
		{
			name:       "NotRun of one of two sends",
			calls:      []soak.Call{refused("r", soak.Claimed), change(ran("r", soak.Claimed), func(c *soak.Call) { c.Try = 1 })},
			executions: once,
		},
		{name: "Ran of a call that did not", calls: []soak.Call{ran("r", soak.Read)}, broken: []soak.Rule{soak.RanIsTrue}},
		{
			name: "an answer without an outcome", executions: once,
			calls: []soak.Call{change(ran("r", soak.Read), func(c *soak.Call) { c.Stated = false })}, broken: []soak.Rule{soak.OutcomeStated},
		},
		{
			name: "another's answer", executions: once,
			calls: []soak.Call{change(ran("r", soak.Read), func(c *soak.Call) { c.Own = false })}, broken: []soak.Rule{soak.OwnAnswer},
		},
		{name: "a broken call", calls: []soak.Call{broken}, broken: []soak.Rule{soak.Unbroken}},
		{name: "a broken call before a trouble", calls: []soak.Call{broken}, troubles: []soak.Trouble{outside}, broken: []soak.Rule{soak.Unbroken}},
		{name: "a broken call in a trouble", calls: []soak.Call{broken}, troubles: []soak.Trouble{inside}},
		{
			name: "a broken call of another gateway than the troubled one", calls: []soak.Call{broken},
			troubles: []soak.Trouble{{Gateway: 1, From: at(50), To: at(300), Breaks: true}}, broken: []soak.Rule{soak.Unbroken},
		},
		{
			name: "a broken call that was sent before the address closed", calls: []soak.Call{broken},
			troubles: []soak.Trouble{{From: at(50), To: at(300), Breaks: true, FromSend: true}}, broken: []soak.Rule{soak.Unbroken},
		},
		{
			name: "a broken call on an open connection just before the address closes", calls: []soak.Call{broken},
			troubles: []soak.Trouble{{From: at(0), To: at(300), Breaks: true, FromSend: true, Fresh: true}}, broken: []soak.Rule{soak.Unbroken},
		},
		{
			name:     "a broken call on a new connection just before the address closes",
			calls:    []soak.Call{change(broken, func(c *soak.Call) { c.Fresh = true })},
			troubles: []soak.Trouble{{From: at(0), To: at(300), Breaks: true, FromSend: true, Fresh: true}},
		},
		{
			name:  "a download that is cut",
			calls: []soak.Call{change(ran("r", soak.Download), func(c *soak.Call) { c.End = soak.Cut })}, executions: once,
		},
		{
			name: "a small answer that is cut", executions: once,
			calls: []soak.Call{change(ran("r", soak.Read), func(c *soak.Call) { c.End = soak.Cut })}, broken: []soak.Rule{soak.Unbroken},
		},
		{name: "a late answer", calls: []soak.Call{late}, executions: once, broken: []soak.Rule{soak.InTime}},
		{name: "a late answer in a pause", calls: []soak.Call{late}, executions: once, troubles: []soak.Trouble{{From: at(50), To: at(60), Delays: true}}},
		{
			name: "a caller that left", executions: once,
			calls: []soak.Call{change(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.GaveUp })},
		},
		{
			name: "a booking that ran twice although its caller left", executions: twice,
			calls:  []soak.Call{change(ran("r", soak.Booking), func(c *soak.Call) { c.End = soak.GaveUp })},
			broken: []soak.Rule{soak.RequestOnce},
		},
		{
			name: "no answer", calls: []soak.Call{change(ran("r", soak.Read), func(c *soak.Call) { c.End = soak.TimedOut })},
			broken: []soak.Rule{soak.InTime},
		},
		{
			name:  "more retries than the budget",
			calls: []soak.Call{ran("r", soak.Read), ran("s", soak.Read)},
			executions: []server.Execution{
				execution("r", "a", 10), execution("r", "b", 20), execution("r", "c", 30), execution("s", "d", 30), execution("s", "e", 40),
			},
			broken: []soak.Rule{soak.RetriesBounded},
		},
	} {
		convey.Convey(c.name, t, func() {
			got := soak.Judge(soak.History{Calls: c.calls, Executions: c.executions, Troubles: c.troubles}, promise)
			convey.So(rulesOf(got), convey.ShouldResemble, c.broken)
		})
	}
}
