package gateway

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
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
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

// lane is the state that the calls of one service share: the chooser, the queue
// and the budgets. One mutex guards it all.
type lane struct {
	g       *Gateway
	service string
	metrics *laneMetrics

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

// placement is the result of the admit filter: a chosen server, counted in.
type placement struct {
	kind   booking.Kind
	choice mustardsaddle.Choice
	queued time.Duration
}

func newLane(g *Gateway, service string) *lane {
	cfg := g.cfg
	l := &lane{
		g:       g,
		service: service,
		metrics: newLaneMetrics(cfg.Metrics, service),
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(len(service)))),
		chooser: cfg.NewChooser(service),
		budgets: booking.Budgets{
			Retry: newBudget(cfg.RetryShare),
			Hedge: newBudget(cfg.HedgeShare),
		},
		latency:   booking.Latency{Quantile: cfg.HedgeQuantile},
		limits:    slot.NewLimits(),
		queue:     slot.New(slot.Config{MaxWaiting: cfg.MaxWaiting, MinRetryAfter: cfg.minRetryAfter()}),
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
func (l *lane) setBounds() {
	gateways := cmp.Or(l.g.gateways.Load(), assumedGateways)
	bounds := *l.g.retry.Load()
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

func (l *lane) setServers(now time.Time, servers []mustardsaddle.Server) {
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

// place begins an attempt of the call and chooses its server. A first attempt and a
// retry wait for one in the queue; a hedge takes another server now, or none. Blind
// is true if no server could be asked.
func (l *lane) place(ctx context.Context, now time.Time, c *call, blind bool) (placement, *refusal) {
	l.mu.Lock()
	kind, tried, ok := c.begin(now, &l.budgets)
	if !ok {
		l.mu.Unlock()
		return placement{}, &refusal{code: code.OK}
	}
	if kind != booking.First || l.queue.Len() == 0 {
		choice, ok := l.choose(now, l.need(tried).WithBlind(blind))
		if ok {
			l.mu.Unlock()
			return placement{kind: kind, choice: choice}, nil
		}
	}
	if kind == booking.Hedge || l.usable <= len(tried) {
		defer l.mu.Unlock()
		return placement{}, &refusal{code: code.CallNoServer, outcome: mustardsaddle.NotRun, retryAfter: l.queue.RetryAfter()}
	}
	l.lastID++
	id := l.lastID
	verdict := l.queue.Join(now, c.ticket(id))
	if !verdict.Waits {
		l.mu.Unlock()
		return placement{}, &refusal{code: code.CallOverloaded, outcome: mustardsaddle.NotRun, retryAfter: verdict.RetryAfter}
	}
	given := make(chan mustardsaddle.Choice, 1)
	l.waiting[id] = waiter{tried: tried, given: given}
	l.mu.Unlock()
	p, no := l.wait(ctx, now, id, verdict.Until, given)
	p.kind = kind
	return p, no
}

// wait returns when a server is given to the waiting call, or when its useful time
// is over or its caller has gone.
func (l *lane) wait(ctx context.Context, since time.Time, id uint64, until time.Time, given chan mustardsaddle.Choice) (placement, *refusal) {
	poll := time.NewTicker(slot.PollInterval)
	defer poll.Stop()
	over := time.NewTimer(time.Until(until))
	defer over.Stop()
	for {
		select {
		case choice, ok := <-given:
			if !ok {
				return placement{}, l.overloaded()
			}
			return placement{choice: choice, queued: time.Since(since)}, nil
		case <-poll.C:
			l.poll(ctx, id)
			continue
		case <-over.C:
		case <-ctx.Done():
		}
		if l.leave(id) {
			return placement{}, l.overloaded()
		}
		// Whoever took the call out of the queue has filled or closed the channel.
		choice, ok := <-given
		if !ok {
			return placement{}, l.overloaded()
		}
		return placement{choice: choice, queued: time.Since(since)}, nil
	}
}

// poll asks the chooser again on behalf of the first waiting call.
func (l *lane) poll(ctx context.Context, id uint64) {
	l.mu.Lock()
	first, ok := l.queue.First(time.Now())
	tried := l.waiting[id].tried
	l.mu.Unlock()
	if !ok || first != id {
		return
	}
	l.ask(ctx, tried)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serveWaiting(time.Now())
}

// leave gives up waiting. It returns false if the wait was ended meanwhile.
func (l *lane) leave(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Leave(id) {
		return false
	}
	delete(l.waiting, id)
	return true
}

// overloaded returns the refusal of a call that waited as long as was useful.
func (l *lane) overloaded() *refusal {
	return &refusal{code: code.CallOverloaded, outcome: mustardsaddle.NotRun, retryAfter: l.retryAfter()}
}

// need describes an attempt that may go to any server but those that were tried.
func (l *lane) need(tried []string) mustardsaddle.Need {
	return mustardsaddle.Need{Exclude: tried, Zone: l.g.cfg.Zone, Bytes: int(l.answerBytes)}
}

// choose picks a server below its cap of connections, and counts the attempt in.
func (l *lane) choose(now time.Time, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
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
func (l *lane) limit(s mustardsaddle.Server) int {
	connections := s.Connections
	if table := l.g.rules.Load(); table != nil {
		connections = cmp.Or(table.Service(l.service).Connections, connections)
	}
	if connections == 0 {
		return math.MaxInt
	}
	return max(slot.Connections(connections, int(l.g.gateways.Load()))-defaultIdlePerHost, 1)
}

// serveWaiting gives servers to waiting calls, in order, while there are any. It
// ends the wait of those that have no useful time left.
func (l *lane) serveWaiting(now time.Time) {
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

// answered takes the time that a server needed to its response header.
func (l *lane) answered(latency time.Duration) {
	l.metrics.header.RecordDuration(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.Add(latency)
}

// relayed takes the size of an answer.
func (l *lane) relayed(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerBytes += (float64(bytes) - l.answerBytes) * answerGain
}

// alive reports whether a connection to the server came free a moment ago.
func (l *lane) alive(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.reusedAt[server]) < aliveWindow
}

// finish tells how an attempt ended, and passes its place on. Kept is true if its
// connection stays open for others.
func (l *lane) finish(now time.Time, result mustardsaddle.Result, kept bool) {
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
func (l *lane) observe(now time.Time, server string, rep mustardsaddle.Report) {
	l.mu.Lock()
	l.chooser.Observe(now, server, rep)
	l.serveWaiting(now)
	l.mu.Unlock()
	if l.g.cfg.OnReport != nil {
		l.g.cfg.OnReport(now, l.service, server, rep)
	}
}

// observeHeader takes the load report in an answer's header, if there is one.
func (l *lane) observeHeader(now time.Time, server string, h http.Header) {
	names := l.g.cfg.Headers
	text := h.Get(names.Load)
	if text == "" {
		return
	}
	rep, err := names.ParseLoad(now, text)
	if err != nil {
		l.metrics.badReports.Inc(1)
		return
	}
	l.observe(now, server, rep)
}

// hedgeDelay returns how long an attempt may be without an answer before it gets
// a hedge, or false if a hedge would have no other server.
func (l *lane) hedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay, known := l.latency.Value()
	if !known {
		delay = unmeasuredHedge
	}
	return max(delay, l.g.cfg.MinHedge), l.usable > 1 && l.g.cfg.HedgeShare > 0
}

// retryAfter returns when a refused caller should come back.
func (l *lane) retryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.RetryAfter()
}

// takeRetry pays for an extra request that is not an attempt of a call.
func (l *lane) takeRetry(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budgets.TakeRetry(now)
}

// probe picks the server whose load is most worth asking for.
func (l *lane) probe(now time.Time) (mustardsaddle.Server, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chooser.Probe(now, l.rng)
}

// takeOther picks a server other than the named one, or else that one.
func (l *lane) takeOther(now time.Time, server string) (mustardsaddle.Choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if choice, ok := l.choose(now, l.need([]string{server})); ok {
		return choice, true
	}
	return l.choose(now, l.need(nil))
}
