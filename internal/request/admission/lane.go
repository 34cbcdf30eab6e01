package admission

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

const (
	// extraBurst is the number of retries, and of hedges, that can be saved up.
	extraBurst = 10
	// answerGain is the weight of one answer in the mean of their sizes.
	answerGain = 0.05
	// slackShare is the part of the retry slack that running gateways plan to use.
	slackShare = 0.6
	// assumedGateways is the size of a fleet that is not known yet.
	assumedGateways = 32
	// unmeasuredHedge is the hedge delay while too few latencies are known.
	unmeasuredHedge = 100 * time.Millisecond
)

// Lane is the state that the calls of one service share: the chooser, the queue
// and the budgets. One mutex guards it all.
type Lane struct {
	lanes *Lanes
	// Service is the name of the service.
	Service string
	// Metrics counts what becomes of its calls.
	Metrics *Metrics

	mu      sync.Mutex
	rng     *rand.Rand
	chooser mustardsaddle.Chooser
	budgets booking.Budgets
	latency booking.Latency
	limits  *slot.Limits
	queue   *slot.Queue
	waiting map[uint64]waiter
	lastID  uint64
	usable  int
	// answerBytes is the moving mean of the size of answers.
	answerBytes float64
	// questions bounds what this gateway asks the servers of the service.
	questions *survey.Questions
	reusedAt  map[string]time.Time // when a reusable connection last came free
}

// waiter is a call that waits for a server.
type waiter struct {
	// tried are the servers that the call has tried already.
	tried []string
	given chan mustardsaddle.Choice
}

// Request is what a call says of itself to be admitted.
type Request struct {
	// Begin asks the call for one more attempt, and returns the servers that it has
	// tried. The lane calls it with its own mutex held.
	Begin func(now time.Time, b *booking.Budgets) (kind booking.Kind, tried []string, ok bool)
	// Ticket returns what the call has to say in the queue.
	Ticket func(id uint64) slot.Ticket
}

// Placement is a chosen server, counted in until Finish.
type Placement struct {
	// Kind says which attempt of its call this is.
	Kind   booking.Kind
	Choice mustardsaddle.Choice
	// Queued is how long the call waited for the server.
	Queued time.Duration
}

func newLane(s *Lanes, service string) *Lane {
	cfg := s.cfg
	l := &Lane{
		lanes:   s,
		Service: service,
		Metrics: newMetrics(cfg.Metrics, service),
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(len(service)))),
		chooser: cfg.NewChooser(service),
		budgets: booking.Budgets{
			Retry: newBudget(cfg.RetryShare),
			Hedge: newBudget(cfg.HedgeShare),
		},
		latency:   booking.Latency{Quantile: cfg.HedgeQuantile},
		limits:    slot.NewLimits(),
		queue:     slot.New(slot.Config{MaxWaiting: cfg.MaxWaiting, MinRetryAfter: cfg.MinRetryAfter}),
		waiting:   make(map[uint64]waiter),
		reusedAt:  make(map[string]time.Time),
		questions: survey.NewQuestions(cfg.Ask),
	}
	if cfg.RetryWindow > 0 {
		l.budgets.Window = booking.NewWindow(cfg.RetryWindow)
	}
	l.setBounds()
	return l
}

// setBounds takes the bounds of retries, and of the slack that all gateways share
// this one's part. Some of it is left for gateways that start without a memory of
// what they have sent.
func (l *Lane) setBounds() {
	gateways := cmp.Or(l.lanes.gateways.Load(), assumedGateways)
	bounds := *l.lanes.retry.Load()
	bounds.Slack *= slackShare / float64(gateways)
	l.budgets.Bounds = bounds
}

// newBudget returns a budget of a share of calls; a share below 0 grants none.
func newBudget(share float64) booking.Budget {
	if share < 0 {
		return booking.Budget{}
	}
	return booking.NewBudget(share, extraBurst)
}

func (l *Lane) setServers(now time.Time, servers []mustardsaddle.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooser.SetServers(now, servers)
	l.usable = 0
	reusedAt := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if at, ok := l.reusedAt[s.Name]; ok {
			reusedAt[s.Name] = at
		}
		if !s.Leaving {
			l.usable++
		}
	}
	l.reusedAt = reusedAt
	l.setQuestions(now)
	l.serveWaiting(now)
}

// Place begins an attempt of the call and chooses its server. A first attempt and a
// retry wait for one in the queue; a hedge takes another server now, or none. Blind
// is true if no server could be asked.
func (l *Lane) Place(ctx context.Context, now time.Time, r Request, blind bool) (Placement, *refusal.Refusal) {
	l.mu.Lock()
	kind, tried, ok := r.Begin(now, &l.budgets)
	if !ok {
		l.mu.Unlock()
		return Placement{}, &refusal.Refusal{Code: code.OK}
	}
	if kind != booking.First || l.queue.Len() == 0 {
		choice, ok := l.choose(now, l.need(tried).WithBlind(blind))
		if ok {
			l.mu.Unlock()
			return Placement{Kind: kind, Choice: choice}, nil
		}
	}
	if kind == booking.Hedge || l.usable <= len(tried) {
		defer l.mu.Unlock()
		return Placement{}, &refusal.Refusal{Code: code.CallNoServer, Outcome: mustardsaddle.NotRun, RetryAfter: l.queue.RetryAfter()}
	}
	l.lastID++
	id := l.lastID
	verdict := l.queue.Join(now, r.Ticket(id))
	if !verdict.Waits {
		l.mu.Unlock()
		return Placement{}, &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: verdict.RetryAfter}
	}
	given := make(chan mustardsaddle.Choice, 1)
	l.waiting[id] = waiter{tried: tried, given: given}
	l.mu.Unlock()
	p, no := l.wait(ctx, now, id, verdict.Until, given)
	p.Kind = kind
	return p, no
}

// wait returns when a server is given to the waiting call, or when its useful time
// is over or its caller has gone.
func (l *Lane) wait(ctx context.Context, since time.Time, id uint64, until time.Time, given chan mustardsaddle.Choice) (Placement, *refusal.Refusal) {
	poll := time.NewTicker(slot.PollInterval)
	defer poll.Stop()
	over := time.NewTimer(time.Until(until))
	defer over.Stop()
	for {
		select {
		case choice, ok := <-given:
			if !ok {
				return Placement{}, l.overloaded()
			}
			return Placement{Choice: choice, Queued: time.Since(since)}, nil
		case <-poll.C:
			l.poll(ctx, id)
			continue
		case <-over.C:
		case <-ctx.Done():
		}
		if l.leave(id) {
			return Placement{}, l.overloaded()
		}
		// Whoever took the call out of the queue has filled or closed the channel.
		choice, ok := <-given
		if !ok {
			return Placement{}, l.overloaded()
		}
		return Placement{Choice: choice, Queued: time.Since(since)}, nil
	}
}

// poll asks the chooser again on behalf of the first waiting call.
func (l *Lane) poll(ctx context.Context, id uint64) {
	l.mu.Lock()
	first, ok := l.queue.First(time.Now())
	tried := l.waiting[id].tried
	l.mu.Unlock()
	if !ok || first != id {
		return
	}
	l.Ask(ctx, tried)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serveWaiting(time.Now())
}

// leave gives up waiting. It returns false if the wait was ended meanwhile.
func (l *Lane) leave(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Leave(id) {
		return false
	}
	delete(l.waiting, id)
	return true
}

// overloaded returns the refusal of a call that waited as long as was useful.
func (l *Lane) overloaded() *refusal.Refusal {
	return &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: l.RetryAfter()}
}

// need describes an attempt that may go to any server but those that were tried.
func (l *Lane) need(tried []string) mustardsaddle.Need {
	return mustardsaddle.Need{Exclude: tried, Zone: l.lanes.cfg.Zone, Bytes: int(l.answerBytes)}
}

// choose picks a server below its cap of connections, and counts the attempt in.
func (l *Lane) choose(now time.Time, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
	for {
		choice, ok := l.chooser.Choose(now, l.rng, need)
		if !ok || l.limits.Admit(choice.Server.Name, l.limit(choice.Server)) {
			return choice, ok
		}
		l.chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.NotRun, Canceled: true})
		need.Exclude = append(slices.Clip(need.Exclude), choice.Server.Name)
	}
}

// limit returns how many attempts this gateway may have open at a server: its
// share of the connections, less those that may be idle. The rules may state the
// connections of a service; a server of which nobody states them has no limit here.
func (l *Lane) limit(s mustardsaddle.Server) int {
	connections := s.Connections
	if table := l.lanes.cfg.Rules(); table != nil {
		connections = cmp.Or(table.Service(l.Service).Connections, connections)
	}
	if connections == 0 {
		return math.MaxInt
	}
	return max(slot.Connections(connections, int(l.lanes.gateways.Load()))-connection.IdlePerHost, 1)
}

// serveWaiting gives servers to waiting calls, in order, while there are any. It
// ends the wait of those that have no useful time left.
func (l *Lane) serveWaiting(now time.Time) {
	for _, id := range l.queue.Expired(now) {
		close(l.waiting[id].given)
		delete(l.waiting, id)
	}
	for {
		id, ok := l.queue.First(now)
		if !ok {
			return
		}
		w := l.waiting[id]
		choice, ok := l.choose(now, l.need(w.tried))
		if !ok {
			return
		}
		l.queue.Leave(id)
		w.given <- choice
		delete(l.waiting, id)
	}
}

// Answered takes the time that a server needed to its response header.
func (l *Lane) Answered(latency time.Duration) {
	l.Metrics.Header.RecordDuration(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.Add(latency)
}

// Relayed takes the size of an answer.
func (l *Lane) Relayed(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerBytes += (float64(bytes) - l.answerBytes) * answerGain
}

// Alive reports whether a connection to the server came free a moment ago.
func (l *Lane) Alive(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.reusedAt[server]) < connection.AliveWindow
}

// Finish tells how an attempt ended, and passes its place on. Kept is true if its
// connection stays open for others.
func (l *Lane) Finish(now time.Time, result mustardsaddle.Result, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept {
		l.reusedAt[result.Server] = now
	}
	l.chooser.Finish(now, result)
	l.logVerdicts()
	l.limits.Release(result.Server)
	latency := result.Latency
	if result.Outcome != mustardsaddle.Ran {
		latency = 0
	}
	l.queue.Released(now, latency)
	l.serveWaiting(now)
}

// observe takes a load report, which may make a server usable again.
func (l *Lane) observe(now time.Time, server string, rep mustardsaddle.Report) {
	l.mu.Lock()
	l.chooser.Observe(now, server, rep)
	l.serveWaiting(now)
	l.mu.Unlock()
	if l.lanes.cfg.OnReport != nil {
		l.lanes.cfg.OnReport(now, l.Service, server, rep)
	}
}

// ObserveHeader takes the load report in an answer's header, if there is one.
func (l *Lane) ObserveHeader(now time.Time, server string, h http.Header) {
	names := l.lanes.cfg.Headers
	text := h.Get(names.Load)
	if text == "" {
		return
	}
	rep, err := names.ParseLoad(now, text)
	if err != nil {
		l.Metrics.BadReports.Inc(1)
		return
	}
	l.observe(now, server, rep)
}

// HedgeDelay returns how long an attempt may be without an answer before it gets
// a hedge, or false if a hedge would have no other server.
func (l *Lane) HedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay, known := l.latency.Value()
	if !known {
		delay = unmeasuredHedge
	}
	return max(delay, l.lanes.cfg.MinHedge), l.usable > 1 && l.lanes.cfg.HedgeShare > 0
}

// RetryAfter returns when a refused caller should come back.
func (l *Lane) RetryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.RetryAfter()
}

// TakeRetry pays for an extra request that is not an attempt of a call.
func (l *Lane) TakeRetry(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budgets.TakeRetry(now)
}

// probe picks the server whose load is most worth asking for.
func (l *Lane) probe(now time.Time) (mustardsaddle.Server, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chooser.Probe(now, l.rng)
}

// TakeOther picks a server other than the named one, or else that one.
func (l *Lane) TakeOther(now time.Time, server string) (mustardsaddle.Choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if choice, ok := l.choose(now, l.need([]string{server})); ok {
		return choice, true
	}
	return l.choose(now, l.need(nil))
}

// logVerdicts writes a line for each server that was taken out of the choice. The
// caller holds mu.
func (l *Lane) logVerdicts() {
	surveyor, ok := l.chooser.(mustardsaddle.Surveyor)
	if !ok {
		return
	}
	for _, v := range surveyor.Verdicts() {
		event.Info(l.lanes.cfg.Logger, event.ServerOut).Str("Service", l.Service).Str("Server", v.Server).
			Str("Reason", v.Reason).Dur("For", v.For).Float64("Failures", v.Failures).Send()
	}
}
