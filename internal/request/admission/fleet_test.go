package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

const (
	// step is the resolution of the model's time, and length the time of a run.
	step   = 20 * time.Millisecond
	length = 40 * time.Second
	// service is the only service of the model.
	service = "Booking"
	// The retry budget of the fleet.
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySlack  = 60.0
	// maxAttempts is the maximum number of attempts of a call.
	maxAttempts = 3
)

var epoch = time.Unix(1000, 0)

// anyServer is a Chooser that always has a server.
type anyServer struct{}

func (anyServer) SetServers(time.Time, []mustardsaddle.Server) {}

func (anyServer) Choose(time.Time, *rand.Rand, mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	return mustardsaddle.Choice{Server: mustardsaddle.Server{Name: "booking-01"}}, true
}

func (anyServer) Finish(time.Time, mustardsaddle.Result) {}

func (anyServer) Observe(time.Time, string, mustardsaddle.Report) {}

func (anyServer) Probe(time.Time, *rand.Rand) (mustardsaddle.Server, bool) {
	return mustardsaddle.Server{}, false
}

// fleet models gateways whose servers refuse most requests.
type fleet struct {
	rng *rand.Rand
	now time.Time
	// running holds the gateways that run, by name.
	running map[string]*gateway
	// later holds the events of each future step.
	later map[time.Time][]func()
	// failing is the share of the attempts that servers refuse.
	failing float64
	// calls and extra are the times of the calls of callers, and of the attempts beyond the
	// first of their calls.
	calls, extra []time.Time
	// refused is the number of calls that ended without a response.
	refused int
	starts  int
}

// gateway is one run of a gateway process.
type gateway struct {
	name        string
	controllers *admission.Controllers
	// weight is its part of the calls.
	weight float64
	// unreachable holds the gateways that it cannot reach.
	unreachable map[string]bool
	// alone is true if it knows no other gateway.
	alone bool
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, running: make(map[string]*gateway),
		later: make(map[time.Time][]func()), failing: 0.7,
	}
	for i := range n {
		f.start(gatewayName(i))
	}
	return f
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%02d", i) }

// start starts a gateway that remembers nothing. It knows itself alone at first, and all
// others soon after that, as they know it.
func (f *fleet) start(name string) {
	f.starts++
	g := &gateway{name: name, weight: 1, alone: true, unreachable: make(map[string]bool)}
	g.controllers = admission.NewControllers(admission.Config{
		Options: admission.Options{
			RetryShare: retryShare, RetryWindow: retryWindow, RetrySlack: retrySlack, HedgeShare: -1, MaxQueued: -1,
			NewChooser: func(string) mustardsaddle.Chooser { return anyServer{} },
		},
		Name: name, Rules: func() *rule.Table { return nil }, Metrics: tally.NoopScope, Logger: zerolog.Nop(), Seed: uint64(f.starts),
	})
	f.running[name] = g
	f.show(g)
	g.controllers.SetServers(f.now, service, []mustardsaddle.Server{{Name: "booking-01"}})
	f.after(2*step, func() {
		g.alone = false
		f.showAll()
	})
}

// kill ends a gateway and starts it again after the given time, or never if it is 0.
func (f *fleet) kill(name string, down time.Duration) {
	delete(f.running, name)
	if down > 0 {
		f.after(down, func() { f.start(name) })
	}
	f.showAll()
}

func (f *fleet) after(d time.Duration, event func()) {
	at := f.now.Add(d.Truncate(step))
	f.later[at] = append(f.later[at], event)
}

// names returns the names of the running gateways, in order.
func (f *fleet) names() []string {
	names := make([]string, 0, len(f.running))
	for name := range f.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// showAll tells each gateway which others run. Those that it cannot reach are shown as
// leaving.
func (f *fleet) showAll() {
	for _, name := range f.names() {
		f.show(f.running[name])
	}
}

func (f *fleet) show(g *gateway) {
	var vms []mustardsaddle.VM
	for _, name := range f.names() {
		if name == g.name || !g.alone {
			vms = append(vms, mustardsaddle.VM{Name: name, Leaving: g.unreachable[name]})
		}
	}
	g.controllers.SetFleet(f.now, vms)
	if !g.alone {
		g.controllers.SetListed(f.now, f.names())
	}
}

// run sends calls at a constant rate, each to a gateway drawn by weight.
func (f *fleet) run(callsPerSecond float64, events func(f *fleet, elapsed time.Duration)) {
	due := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		f.now = epoch.Add(elapsed)
		for _, event := range f.later[f.now] {
			event()
		}
		events(f, elapsed)
		for due += callsPerSecond * step.Seconds(); due >= 1; due-- {
			f.calls = append(f.calls, f.now)
			if g := f.pick(); g != nil {
				f.call(g)
			}
		}
	}
}

func (f *fleet) pick() *gateway {
	names := f.names()
	total := 0.0
	for _, name := range names {
		total += f.running[name].weight
	}
	at := f.rng.Float64() * total
	for _, name := range names {
		if at -= f.running[name].weight; at < 0 {
			return f.running[name]
		}
	}
	return nil
}

// call sends one call, with as many attempts as are allowed until one succeeds.
func (f *fleet) call(g *gateway) {
	controller := g.controllers.Get(service)
	state := booking.New(booking.Config{Deadline: f.now.Add(time.Second), MaxAttempts: maxAttempts})
	begin := func(now time.Time, b *booking.Budgets) (booking.Kind, []string, bool) {
		kind, ok := state.Begin(now, b)
		return kind, nil, ok
	}
	entry := func(id uint64) slot.Entry { return slot.Entry{ID: id, Deadline: f.now.Add(time.Second)} }
	for {
		assigned, refused := controller.Admit(context.Background(), f.now, admission.Request{Begin: begin, Entry: entry}, true)
		if refused != nil {
			f.refused++
			return
		}
		if assigned.Kind != booking.First {
			f.extra = append(f.extra, f.now)
		}
		outcome := mustardsaddle.Ran
		if f.rng.Float64() < f.failing {
			outcome = mustardsaddle.NotRun
		}
		state.End(outcome)
		controller.Finish(f.now, mustardsaddle.Result{Server: "booking-01", Outcome: outcome}, true)
		if outcome == mustardsaddle.Ran {
			return
		}
	}
}

// excess returns by how much the extra attempts of some window exceed what the fleet may
// send: a share of the calls and the slack. The calls are those in the window, in the one
// before it or in the one half a window before it, whichever has most.
func (f *fleet) excess() float64 {
	worst := -retrySlack
	for i, at := range f.extra {
		if i > 0 && f.extra[i-1].Equal(at) {
			continue
		}
		end := at.Add(retryWindow)
		calls := max(f.countCalls(at, end), f.countCalls(at.Add(-retryWindow), at), f.countCalls(at.Add(-retryWindow/2), end.Add(-retryWindow/2)))
		n := countBefore(f.extra, end) - countBefore(f.extra, at)
		worst = max(worst, float64(n)-retryShare*float64(calls)-retrySlack)
	}
	return worst
}

func (f *fleet) countCalls(from, to time.Time) int {
	return countBefore(f.calls, to) - countBefore(f.calls, from)
}

func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}

// every reports whether a multiple of the period falls on this step, from the given time on.
func every(elapsed, from, period time.Duration) bool {
	return elapsed >= from && (elapsed-from)%period < step
}

// killMost kills all gateways but two every two seconds.
func killMost(f *fleet, elapsed time.Duration) {
	if elapsed < 16*time.Second && every(elapsed, 4*time.Second, 2*time.Second) {
		for _, name := range f.names()[2:] {
			f.kill(name, 500*time.Millisecond)
		}
	}
}

// moveCallers moves most callers from one half of the gateways to the other. Servers begin to
// refuse requests at the same time.
func moveCallers(f *fleet, elapsed time.Duration) {
	if elapsed != 0 && elapsed != 12*time.Second {
		return
	}
	before := elapsed == 0
	f.failing = 0.9
	if before {
		f.failing = 0
	}
	for i, name := range f.names() {
		first := i%2 == 0
		switch {
		case first == before:
			f.running[name].weight = 1
		case first:
			f.running[name].weight = 0.25
		default:
			f.running[name].weight = 0.01
		}
	}
}

// growFleet adds gateways until there are four times as many.
func growFleet(f *fleet, elapsed time.Duration) {
	if every(elapsed, 4*time.Second, 200*time.Millisecond) && len(f.running) < 76 {
		f.start(gatewayName(len(f.running)))
	}
}

// replaceGateways ends a gateway every 300 ms and starts one under another name.
func replaceGateways(f *fleet, elapsed time.Duration) {
	if every(elapsed, 2*time.Second, 300*time.Millisecond) {
		f.kill(f.names()[0], 0)
		f.start(gatewayName(100 + f.starts))
	}
}

// shrinkFleet ends most gateways for good.
func shrinkFleet(f *fleet, elapsed time.Duration) {
	if elapsed < 14*time.Second && every(elapsed, 4*time.Second, 500*time.Millisecond) && len(f.running) > 3 {
		f.kill(f.names()[0], 0)
	}
}

// cutFleet cuts each gateway off from all others. All run, and callers reach them.
func cutFleet(f *fleet, elapsed time.Duration) {
	if !every(elapsed, 4*time.Second, length) {
		return
	}
	for _, name := range f.names() {
		for _, other := range f.names() {
			f.running[name].unreachable[other] = name != other
		}
	}
	f.showAll()
}

// storeAway kills all gateways every four seconds while they cannot learn of each other.
func storeAway(f *fleet, elapsed time.Duration) {
	if elapsed < 24*time.Second && every(elapsed, 4*time.Second, 4*time.Second) {
		for _, name := range f.names() {
			f.kill(name, 500*time.Millisecond)
		}
	}
	if elapsed >= 4*time.Second && elapsed < 28*time.Second {
		for _, name := range f.names() {
			f.running[name].alone = true
			f.show(f.running[name])
		}
	}
}

// TestFleetKeepsRetryBudget guards against a fleet that sends more retries in some window
// than all gateways together may: restarted gateways spent their part of the slack again,
// and gateways whose callers moved counted calls of different windows.
func TestFleetKeepsRetryBudget(t *testing.T) {
	cases := []struct {
		name   string
		events func(f *fleet, elapsed time.Duration)
	}{
		{"undisturbed", func(*fleet, time.Duration) {}},
		{"killed", killMost},
		{"moved", moveCallers},
		{"grown", growFleet},
		{"replaced", replaceGateways},
		{"shrunk", shrinkFleet},
		{"cut", cutFleet},
		{"store away", storeAway},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				f := newFleet(seed, 19)
				f.run(400, c.events)
				t.Logf("%d calls, %d retries, %d refused", len(f.calls), len(f.extra), f.refused)
				if excess := f.excess(); excess > 0 {
					t.Errorf("got %.0f retries more than allowed in some window of %v, want none", excess, retryWindow)
				}
			})
		}
	}
}

// TestRetriesEndWithTheirCause guards against retries that go on, or are still refused, after
// the servers have ceased to refuse requests.
func TestRetriesEndWithTheirCause(t *testing.T) {
	const ends = 20 * time.Second
	f := newFleet(1, 19)
	refused := 0
	f.run(400, func(f *fleet, elapsed time.Duration) {
		killMost(f, elapsed)
		if elapsed == ends {
			f.failing, refused = 0, f.refused
		}
	})
	if n := len(f.extra) - countBefore(f.extra, epoch.Add(ends)); n > 0 || f.refused > refused {
		t.Errorf("got %d retries and %d refused calls after the end of the fault, want none", n, f.refused-refused)
	}
	if len(f.extra) == 0 || refused == 0 {
		t.Errorf("got %d retries and %d refused calls during the fault, want some", len(f.extra), refused)
	}
}
