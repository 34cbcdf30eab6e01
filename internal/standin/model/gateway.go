package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

const (
	// minRetryAfter is the shortest delay before a refused caller retries.
	minRetryAfter = 50 * time.Millisecond
	// maxQueued limits the calls queued in a gateway.
	maxQueued = 64
	// maxAttempts limits the attempts of a call.
	maxAttempts = 3
	// The retry budget: within retryWindow, retries may make up retryShare of the
	// calls, plus retrySlack for all gateways together.
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySlack  = 60.0
)

// response is the response of a gateway to a call.
type response struct {
	end        End
	retryAfter time.Duration
}

// gateway is a simulated gateway: it runs the load balancer's own decision logic
// and simulates the I/O around it with scheduled events.
type gateway struct {
	sim         *simulation
	zone        string
	rng         *rand.Rand
	chooser     mustardsaddle.Chooser
	queue       *slot.Queue
	budgets     booking.Budgets
	queryBudget *survey.QueryLimiter
	waiting     map[uint64]*call
	lastID      uint64
	polling     bool
}

func newGateway(sim *simulation, vm mustardsaddle.VM, fleet []mustardsaddle.VM, servers []mustardsaddle.Server, seed uint64) *gateway {
	n := float64(len(fleet))
	g := &gateway{
		sim: sim, zone: vm.Zone, rng: rand.New(rand.NewPCG(sim.cfg.Seed, 1000+seed)),
		chooser:     sim.cfg.Policy.NewChooser(),
		queue:       slot.New(slot.Config{MaxQueued: maxQueued, MinRetryAfter: minRetryAfter}),
		queryBudget: survey.NewQueryLimiter(sim.cfg.Policy.MaxQueries),
		waiting:     make(map[uint64]*call),
		budgets: booking.Budgets{
			Window: booking.NewWindow(retryWindow),
		},
	}
	g.budgets.Window.SetBounds(epoch, booking.Bounds{Share: retryShare, Slack: retrySlack / n})
	g.queryBudget.SetRate(epoch, survey.GatewayQueryRate(sim.cfg.Pattern.MaxQueryRate, len(servers), len(fleet)))
	g.chooser.SetServers(epoch, servers)
	if f, ok := g.chooser.(mustardsaddle.FleetSetter); ok {
		f.SetFleet(epoch, vm.Name, fleet)
	}
	return g
}

// call is a call from a caller to a gateway. A retry by the caller is a new call.
type call struct {
	gateway  *gateway
	request  *request
	id       uint64
	began    time.Time
	deadline time.Time
	state    booking.Call
	tried    []string
	done     bool
	// cancelAttempt cancels the outstanding attempt; nil if there is none.
	cancelAttempt func()
}

// serve starts a call for a request.
func (g *gateway) serve(r *request) {
	g.lastID++
	c := &call{gateway: g, request: r, id: g.lastID, began: g.sim.loop.now, deadline: g.sim.loop.now.Add(r.class.Deadline)}
	repeat := mustardsaddle.RepeatNo
	if r.class.Idempotent {
		repeat = mustardsaddle.RepeatYes
	}
	c.state = booking.New(booking.Config{Repeat: repeat, Deadline: c.deadline, MaxAttempts: maxAttempts})
	g.sim.loop.schedule(c.deadline, func() { c.finish(TimedOut) })
	c.startAttempt()
}

// startAttempt starts another attempt if the call and the retry budget permit it:
// it queries the load of some servers, then tries to place the attempt on one.
func (c *call) startAttempt() {
	kind, ok := c.state.Begin(c.gateway.sim.loop.now, &c.gateway.budgets)
	if !ok {
		c.finish(Failed)
		return
	}
	c.gateway.queryLoads(c.tried, func(unqueried bool) { c.admit(kind, unqueried) })
}

// admit sends the attempt to a server, queues the call, or refuses it. A first
// attempt does not overtake calls in the queue.
func (c *call) admit(kind booking.Kind, unqueried bool) {
	if c.done {
		return
	}
	g, now := c.gateway, c.gateway.sim.loop.now
	if kind != booking.First || g.queue.Len() == 0 {
		if choice, ok := g.choose(c.tried, unqueried); ok {
			c.send(choice.Server)
			return
		}
	}
	joined := g.queue.Join(now, c.entry())
	if !joined.Queued {
		c.state.End(mustardsaddle.NotRun)
		c.finish(Refused)
		return
	}
	g.waiting[c.id] = c
	g.sim.loop.schedule(joined.ExpiresAt, g.refuseExpired)
	g.poll()
}

// entry returns the queue entry of the call.
func (c *call) entry() slot.Entry {
	class := c.request.class
	return slot.Entry{
		ID: c.id, Deadline: c.deadline, Target: c.began.Add(class.Target), Priority: class.Priority,
		MaxWait: class.Target / time.Duration(c.gateway.sim.cfg.Policy.waitDivisor()),
	}
}

// refuseExpired refuses the queued calls whose maximum wait is over.
func (g *gateway) refuseExpired() {
	for _, id := range g.queue.RemoveExpired(g.sim.loop.now) {
		c := g.waiting[id]
		delete(g.waiting, id)
		c.state.End(mustardsaddle.NotRun)
		c.finish(Refused)
	}
}

// poll periodically queries server loads for the call at the head of the queue and
// dispatches queued calls, until the queue is empty.
func (g *gateway) poll() {
	if g.polling {
		return
	}
	g.polling = true
	g.sim.loop.scheduleAfter(slot.PollInterval, func() {
		g.polling = false
		id, ok := g.queue.Next(g.sim.loop.now)
		if !ok {
			return
		}
		g.queryLoads(g.waiting[id].tried, func(bool) { g.dispatchQueued() })
		g.poll()
	})
}

// dispatchQueued sends queued calls to servers, in queue order, until the chooser
// has no server for the first one.
func (g *gateway) dispatchQueued() {
	g.refuseExpired()
	for {
		id, ok := g.queue.Next(g.sim.loop.now)
		if !ok {
			return
		}
		c := g.waiting[id]
		choice, ok := g.choose(c.tried, false)
		if !ok {
			return
		}
		g.queue.Remove(id)
		delete(g.waiting, id)
		c.send(choice.Server)
	}
}

// choose chooses a server that has not been tried. unqueried states that the query budget
// allowed no load query for this attempt.
func (g *gateway) choose(tried []string, unqueried bool) (mustardsaddle.Choice, bool) {
	if g.sim.cfg.Policy.PerfectInformation {
		g.observeAll()
	}
	return g.chooser.Choose(g.sim.loop.now, g.rng, mustardsaddle.Requirements{Exclude: tried, Zone: g.zone, Unqueried: unqueried})
}

// observeAll gives the chooser the current load of every healthy server, including
// the requests in transit to it.
func (g *gateway) observeAll() {
	for _, s := range g.sim.servers {
		if !s.unresponsive && !s.shedding && s.failureRate == 0 {
			rep := s.report()
			rep.InFlight += s.inTransit
			g.chooser.Observe(g.sim.loop.now, s.name, rep)
		}
	}
}

// delay returns the one-way network delay to a server.
func (g *gateway) delay(s *server) time.Duration {
	if s.zone == g.zone {
		return g.sim.cfg.Pattern.Network.WithinZone
	}
	return g.sim.cfg.Pattern.Network.CrossZone
}

// queryLoads queries the load of the servers that the chooser selects, within the
// query budget, and then of those of another zone if the chooser selects any. It calls done
// once all have replied or survey.QueryWait has passed; unqueried is true if the budget
// allowed no query at first.
func (g *gateway) queryLoads(tried []string, done func(unqueried bool)) {
	querier, ok := g.chooser.(mustardsaddle.LoadQuerier)
	if !ok || g.sim.cfg.Policy.PerfectInformation {
		done(false)
		return
	}
	reqs := mustardsaddle.Requirements{Exclude: tried, Zone: g.zone}
	n := g.queryBudget.CallLimit(g.sim.loop.now)
	servers, unqueried := g.withinBudget(querier, querier.SelectQueries(g.sim.loop.now, g.rng, reqs, n))
	g.queryServers(querier, servers, func() {
		leaver, ok := g.chooser.(mustardsaddle.ZoneLeaver)
		if !ok {
			done(unqueried)
			return
		}
		now := g.sim.loop.now
		leaving, _ := g.withinBudget(querier, leaver.SelectLeaving(now, g.rng, reqs, g.queryBudget.CallLimit(now)))
		g.queryServers(querier, leaving, func() {
			leaver.RecordLeaving(g.sim.loop.now, leaving)
			done(unqueried)
		})
	})
}

// withinBudget returns the first of the selected servers, as far as the query budget
// allows. Unqueried is true if it allowed none.
func (g *gateway) withinBudget(querier mustardsaddle.LoadQuerier, servers []mustardsaddle.Server) (_ []mustardsaddle.Server, unqueried bool) {
	for i := range servers {
		if !g.queryBudget.Allow(g.sim.loop.now) {
			querier.CancelQueries(servers[i:])
			return servers[:i], i == 0
		}
	}
	return servers, false
}

// queryServers queries servers at the same time, and calls done once all have replied or
// survey.QueryWait has passed.
func (g *gateway) queryServers(querier mustardsaddle.LoadQuerier, servers []mustardsaddle.Server, done func()) {
	if len(servers) == 0 {
		done()
		return
	}
	pending, finished := len(servers), false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	g.sim.loop.scheduleAfter(survey.QueryWait, finish)
	for _, target := range servers {
		g.sim.result.recordQuestion(target.Zone != g.zone)
		g.queryServer(querier, g.sim.byName[target.Name], func() {
			pending--
			if pending == 0 {
				finish()
			}
		})
	}
}

// queryServer queries the load of one server, passes its reply to the chooser, and then
// calls done. An unresponsive server does not reply: the query times out, and done is not
// called.
func (g *gateway) queryServer(querier mustardsaddle.LoadQuerier, s *server, done func()) {
	delay := g.delay(s)
	g.sim.loop.scheduleAfter(delay, func() {
		if s.unresponsive {
			g.sim.loop.scheduleAfter(survey.QueryWait, func() { querier.RecordQuery(g.sim.loop.now, s.name, mustardsaddle.NoReply) })
			return
		}
		rep := s.report()
		g.sim.loop.scheduleAfter(delay, func() {
			querier.RecordQuery(g.sim.loop.now, s.name, mustardsaddle.OwnReply)
			rep.At = g.sim.loop.now
			g.chooser.Observe(g.sim.loop.now, s.name, rep)
			done()
		})
	})
}

// send sends an attempt to a server.
func (c *call) send(chosen mustardsaddle.Server) {
	g := c.gateway
	s := g.sim.byName[chosen.Name]
	delay, sent := g.delay(s), g.sim.loop.now
	c.tried = append(slices.Clip(c.tried), s.name)
	g.sim.result.recordAttempt(s.zone != g.zone)
	outstanding := true
	j := &job{remaining: c.request.work}
	j.respond = func(r reply) {
		g.sim.loop.scheduleAfter(delay, func() {
			if outstanding {
				outstanding = false
				c.cancelAttempt = nil
				c.handleReply(s, r, g.sim.loop.now.Sub(sent))
			}
		})
	}
	c.cancelAttempt = func() {
		outstanding = false
		g.sim.loop.scheduleAfter(delay, func() { s.cancel(j) })
		g.finishAttempt(mustardsaddle.Result{Server: s.name, Failed: true, Latency: g.sim.loop.now.Sub(sent)})
	}
	s.inTransit++
	g.sim.loop.scheduleAfter(delay, func() {
		s.inTransit--
		s.accept(j)
	})
}

// handleReply processes the reply to an attempt. If the request has run, it finishes the
// call; otherwise it starts another attempt if that is permitted.
func (c *call) handleReply(s *server, r reply, latency time.Duration) {
	g, now := c.gateway, c.gateway.sim.loop.now
	c.state.End(r.outcome)
	if r.report.Slots > 0 {
		r.report.At = now
		g.chooser.Observe(now, s.name, r.report)
	}
	g.finishAttempt(mustardsaddle.Result{
		Server: s.name, Outcome: r.outcome, Shed: r.shed, Failed: r.failed, Latency: latency,
	})
	switch {
	case r.outcome == mustardsaddle.Ran && !r.failed:
		c.finish(Served)
	case r.outcome == mustardsaddle.Ran:
		c.finish(Failed)
	default:
		c.startAttempt()
	}
}

// finishAttempt reports the result of an attempt to the chooser and the queue, then
// dispatches queued calls.
func (g *gateway) finishAttempt(r mustardsaddle.Result) {
	g.chooser.Finish(g.sim.loop.now, r)
	latency := r.Latency
	if r.Outcome != mustardsaddle.Ran {
		latency = 0
	}
	g.queue.RecordRelease(g.sim.loop.now, latency)
	g.dispatchQueued()
}

// finish ends the call, cancels its outstanding attempt, and responds to the caller. It
// has no effect on a call that has already ended.
func (c *call) finish(end End) {
	if c.done {
		return
	}
	c.done = true
	if end == Failed && c.state.Outcome() == mustardsaddle.NotRun {
		end = Refused
	}
	if c.gateway.queue.Remove(c.id) {
		delete(c.gateway.waiting, c.id)
	}
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
	c.gateway.sim.handleResponse(c.request, response{end: end, retryAfter: c.gateway.queue.RetryAfter()})
}
