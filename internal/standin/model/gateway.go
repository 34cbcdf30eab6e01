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
	// minRetryAfter is the shortest time after which a refused caller comes back.
	minRetryAfter = 50 * time.Millisecond
	// maxWaiting bounds the calls that wait in a gateway.
	maxWaiting = 64
	// maxAttempts bounds the attempts of a call.
	maxAttempts = 3
	// retryWindow is the time over which retries are counted against the calls,
	// retryShare the share of calls, and retrySlack what the fleet may send beyond.
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySlack  = 60.0
)

// answer is the final answer of one try of a caller.
type answer struct {
	end        End
	retryAfter time.Duration
}

// gateway is one gateway: the product's cores, and the events between them.
type gateway struct {
	w         *world
	zone      string
	rng       *rand.Rand
	chooser   mustardsaddle.Chooser
	queue     *slot.Queue
	budgets   booking.Budgets
	questions *survey.Questions
	waiting   map[uint64]*call
	last      uint64
	polling   bool
}

func newGateway(w *world, vm mustardsaddle.VM, fleet []mustardsaddle.VM, servers []mustardsaddle.Server, seed uint64) *gateway {
	n := float64(len(fleet))
	g := &gateway{
		w: w, zone: vm.Zone, rng: rand.New(rand.NewPCG(w.cfg.Seed, 1000+seed)),
		chooser:   w.cfg.Policy.New(),
		queue:     slot.New(slot.Config{MaxWaiting: maxWaiting, MinRetryAfter: minRetryAfter}),
		questions: survey.NewQuestions(w.cfg.Policy.Ask),
		waiting:   make(map[uint64]*call),
		budgets: booking.Budgets{
			Window: booking.NewWindow(retryWindow),
			Bounds: booking.Bounds{Share: retryShare, Slack: retrySlack / n},
		},
	}
	g.questions.SetRate(start, survey.Rate(w.cfg.Pattern.QuestionsPerServer, len(servers), len(fleet)))
	g.chooser.SetServers(start, servers)
	if f, ok := g.chooser.(mustardsaddle.FleetSetter); ok {
		f.SetFleet(start, vm.Name, fleet)
	}
	return g
}

// call is one try of a caller at a gateway.
type call struct {
	g        *gateway
	r        *request
	id       uint64
	began    time.Time
	deadline time.Time
	state    booking.Call
	tried    []string
	over     bool
	// drop takes the open attempt out of its server; nil if none is open.
	drop func()
}

// serve takes a call.
func (g *gateway) serve(r *request) {
	g.last++
	c := &call{g: g, r: r, id: g.last, began: g.w.loop.now, deadline: g.w.loop.now.Add(r.kind.Deadline)}
	repeat := mustardsaddle.RepeatNo
	if r.kind.Idempotent {
		repeat = mustardsaddle.RepeatYes
	}
	c.state = booking.New(booking.Config{Repeat: repeat, Deadline: c.deadline, MaxAttempts: maxAttempts})
	g.w.loop.at(c.deadline, func() { c.end(TimedOut) })
	c.place()
}

// place asks for one more attempt: some servers are asked, then one is chosen.
func (c *call) place() {
	kind, ok := c.state.Begin(c.g.w.loop.now, &c.g.budgets)
	if !ok {
		c.end(Failed)
		return
	}
	c.g.ask(c.tried, func(blind bool) { c.admit(kind, blind) })
}

// admit sends the call to a server, lets it wait for one, or refuses it.
func (c *call) admit(kind booking.Kind, blind bool) {
	if c.over {
		return
	}
	g, now := c.g, c.g.w.loop.now
	if kind != booking.First || g.queue.Len() == 0 {
		if choice, ok := g.choose(c.tried, blind); ok {
			c.send(choice.Server)
			return
		}
	}
	verdict := g.queue.Join(now, c.ticket())
	if !verdict.Waits {
		c.state.End(mustardsaddle.NotRun)
		c.end(Refused)
		return
	}
	g.waiting[c.id] = c
	g.w.loop.at(verdict.Until, g.expire)
	g.poll()
}

// ticket returns what the call has to say in the queue.
func (c *call) ticket() slot.Ticket {
	k := c.r.kind
	return slot.Ticket{
		ID: c.id, Deadline: c.deadline, Target: c.began.Add(k.Target), Priority: k.Priority,
		Patience: k.Target / time.Duration(c.g.w.cfg.Policy.patience()),
	}
}

// expire refuses the calls that have waited in vain.
func (g *gateway) expire() {
	for _, id := range g.queue.Expired(g.w.loop.now) {
		c := g.waiting[id]
		delete(g.waiting, id)
		c.state.End(mustardsaddle.NotRun)
		c.end(Refused)
	}
}

// poll asks again for the first waiting call, as long as there is one.
func (g *gateway) poll() {
	if g.polling {
		return
	}
	g.polling = true
	g.w.loop.after(slot.PollInterval, func() {
		g.polling = false
		id, ok := g.queue.First(g.w.loop.now)
		if !ok {
			return
		}
		g.ask(g.waiting[id].tried, func(bool) { g.serveWaiting() })
		g.poll()
	})
}

// serveWaiting gives servers to waiting calls, in order, while there are any.
func (g *gateway) serveWaiting() {
	g.expire()
	for {
		id, ok := g.queue.First(g.w.loop.now)
		if !ok {
			return
		}
		c := g.waiting[id]
		choice, ok := g.choose(c.tried, false)
		if !ok {
			return
		}
		g.queue.Leave(id)
		delete(g.waiting, id)
		c.send(choice.Server)
	}
}

func (g *gateway) choose(tried []string, blind bool) (mustardsaddle.Choice, bool) {
	if g.w.cfg.Policy.Exact {
		g.seeAll()
	}
	return g.chooser.Choose(g.w.loop.now, g.rng, mustardsaddle.Need{Exclude: tried, Zone: g.zone, Blind: blind})
}

// seeAll lets the chooser know the true state of all servers.
func (g *gateway) seeAll() {
	for _, s := range g.w.servers {
		if !s.dark && !s.shedding && s.failing == 0 {
			rep := s.report()
			rep.InFlight += s.coming
			g.chooser.Observe(g.w.loop.now, s.name, rep)
		}
	}
}

// delay is the time that a message needs to a server, one way.
func (g *gateway) delay(s *server) time.Duration {
	if s.zone == g.zone {
		return g.w.cfg.Pattern.Network.Zone
	}
	return g.w.cfg.Pattern.Network.Across
}

// ask lets the chooser ask servers, and goes on when all have answered or the
// patience is over.
func (g *gateway) ask(tried []string, done func(blind bool)) {
	surveyor, ok := g.chooser.(mustardsaddle.Surveyor)
	if !ok || g.w.cfg.Policy.Exact {
		done(false)
		return
	}
	now := g.w.loop.now
	blind := false
	servers := surveyor.Ask(now, g.rng, mustardsaddle.Need{Exclude: tried, Zone: g.zone}, g.questions.Next(now))
	for i := range servers {
		if !g.questions.Take(now) {
			surveyor.Unasked(servers[i:])
			blind = i == 0
			servers = servers[:i]
			break
		}
	}
	g.w.result.Questions += len(servers)
	left, over := len(servers), false
	settle := func() {
		if !over {
			over = true
			done(blind)
		}
	}
	if left == 0 {
		settle()
		return
	}
	g.w.loop.after(survey.AnswerPatience, settle)
	for _, known := range servers {
		g.askOne(surveyor, g.w.byName[known.Name], func() {
			left--
			if left == 0 {
				settle()
			}
		})
	}
}

// askOne asks one server. A dark one does not answer.
func (g *gateway) askOne(surveyor mustardsaddle.Surveyor, s *server, done func()) {
	delay := g.delay(s)
	g.w.loop.after(delay, func() {
		if s.dark {
			g.w.loop.after(survey.AnswerPatience, func() { surveyor.Asked(g.w.loop.now, s.name, mustardsaddle.NoReply) })
			return
		}
		rep := s.report()
		g.w.loop.after(delay, func() {
			surveyor.Asked(g.w.loop.now, s.name, mustardsaddle.OwnReply)
			rep.At = g.w.loop.now
			g.chooser.Observe(g.w.loop.now, s.name, rep)
			done()
		})
	})
}

// send sends an attempt to a server.
func (c *call) send(known mustardsaddle.Server) {
	g := c.g
	s := g.w.byName[known.Name]
	delay, sent := g.delay(s), g.w.loop.now
	c.tried = append(slices.Clip(c.tried), s.name)
	g.w.result.Attempts++
	open := true
	j := &job{left: c.r.work}
	j.answer = func(a reply) {
		g.w.loop.after(delay, func() {
			if open {
				open = false
				c.drop = nil
				c.ended(s, a, g.w.loop.now.Sub(sent))
			}
		})
	}
	c.drop = func() {
		open = false
		g.w.loop.after(delay, func() { s.drop(j) })
		g.finish(mustardsaddle.Result{Server: s.name, Failed: true, Latency: g.w.loop.now.Sub(sent)})
	}
	s.coming++
	g.w.loop.after(delay, func() {
		s.coming--
		s.take(j)
	})
}

// ended takes the answer of an attempt, and sends another one if that is permitted.
func (c *call) ended(s *server, a reply, latency time.Duration) {
	g, now := c.g, c.g.w.loop.now
	c.state.End(a.outcome)
	if a.report.Slots > 0 {
		a.report.At = now
		g.chooser.Observe(now, s.name, a.report)
	}
	g.finish(mustardsaddle.Result{
		Server: s.name, Outcome: a.outcome, Shed: a.shed, Failed: a.failed, Latency: latency,
	})
	switch {
	case a.outcome == mustardsaddle.Ran && !a.failed:
		c.end(Served)
	case a.outcome == mustardsaddle.Ran:
		c.end(Failed)
	default:
		c.place()
	}
}

// finish tells that an attempt ended, and passes its place on.
func (g *gateway) finish(r mustardsaddle.Result) {
	g.chooser.Finish(g.w.loop.now, r)
	latency := r.Latency
	if r.Outcome != mustardsaddle.Ran {
		latency = 0
	}
	g.queue.Released(g.w.loop.now, latency)
	g.serveWaiting()
}

// end gives the caller its final answer.
func (c *call) end(how End) {
	if c.over {
		return
	}
	c.over = true
	if how == Failed && c.state.Outcome() == mustardsaddle.NotRun {
		how = Refused
	}
	if c.g.queue.Leave(c.id) {
		delete(c.g.waiting, c.id)
	}
	if c.drop != nil {
		c.drop()
	}
	c.g.w.answered(c.r, answer{end: how, retryAfter: c.g.queue.RetryAfter()})
}
