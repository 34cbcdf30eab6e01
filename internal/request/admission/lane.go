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
	// budgetBurst is the burst size of the retry budget and of the hedge budget.
	budgetBurst = 10
	// responseSizeWeight is the weight of a new sample in the moving average of response
	// sizes.
	responseSizeWeight = 0.05
	// plannedSlackShare is the fraction of the fleet's retry slack that is divided among the
	// known gateways.
	plannedSlackShare = 0.6
	// defaultFleetSize is the fleet size used until the real one is known.
	defaultFleetSize = 32
	// initialHedgeDelay is the hedge delay used until enough latencies are recorded.
	initialHedgeDelay = 100 * time.Millisecond
)

// Lane is the admission controller of one service. It holds the load balancing
// policy, the queue and the budgets that the calls of the service share, all guarded
// by one mutex.
type Lane struct {
	lanes *Lanes
	// Service is the name of the service.
	Service string
	// Metrics holds the metrics of the service.
	Metrics *Metrics

	mu      sync.Mutex
	rng     *rand.Rand
	chooser mustardsaddle.Chooser
	budgets booking.Budgets
	latency booking.Latency
	limits  *slot.Limits
	queue   *slot.Queue
	waiting map[uint64]queuedCall
	lastID  uint64
	usable  int // number of servers that are not leaving
	// responseBytes is the moving average of response sizes.
	responseBytes float64
	// queryLimit limits the load queries that this gateway sends to the service.
	queryLimit *survey.QueryLimiter
	idleAt     map[string]time.Time // when a connection to the server last became idle
}

// queuedCall is a call that waits in the queue.
type queuedCall struct {
	// tried lists the servers that the call has already tried.
	tried []string
	// assigned receives the assigned server; it is closed if the call's wait expires.
	assigned chan mustardsaddle.Choice
}

// Request describes a call that asks for admission.
type Request struct {
	// Begin starts another attempt if the call and the budgets allow one. It returns
	// the kind of the attempt and the servers that the call has already tried. The
	// Lane calls it with its mutex held.
	Begin func(now time.Time, b *booking.Budgets) (kind booking.Kind, tried []string, ok bool)
	// Ticket returns the call's queue entry under the given ID.
	Ticket func(id uint64) slot.Ticket
}

// Placement is the server assigned to an attempt. The attempt counts as in flight
// until Finish.
type Placement struct {
	// Kind says whether the attempt is a first attempt, a retry or a hedge.
	Kind   booking.Kind
	Choice mustardsaddle.Choice
	// Queued is the time that the call spent in the queue.
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
		latency:    booking.Latency{Quantile: cfg.HedgeQuantile},
		limits:     slot.NewLimits(),
		queue:      slot.New(slot.Config{MaxWaiting: cfg.MaxWaiting, MinRetryAfter: cfg.MinRetryAfter}),
		waiting:    make(map[uint64]queuedCall),
		idleAt:     make(map[string]time.Time),
		queryLimit: survey.NewQueryLimiter(cfg.Ask),
	}
	if cfg.RetryWindow > 0 {
		l.budgets.Window = booking.NewWindow(cfg.RetryWindow)
	}
	l.updateRetryBounds()
	return l
}

// updateRetryBounds updates the retry bounds and divides the fleet's slack by the number
// of gateways. Part of the slack is held back for gateways that start without a record
// of the retries they have sent.
func (l *Lane) updateRetryBounds() {
	gateways := cmp.Or(l.lanes.gateways.Load(), defaultFleetSize)
	bounds := *l.lanes.retry.Load()
	bounds.Slack *= plannedSlackShare / float64(gateways)
	l.budgets.Bounds = bounds
}

// newBudget returns a budget for the given share of calls. A negative share grants
// nothing.
func newBudget(share float64) booking.Budget {
	if share < 0 {
		return booking.Budget{}
	}
	return booking.NewBudget(share, budgetBurst)
}

func (l *Lane) setServers(now time.Time, servers []mustardsaddle.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooser.SetServers(now, servers)
	l.usable = 0
	idleAt := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if at, ok := l.idleAt[s.Name]; ok {
			idleAt[s.Name] = at
		}
		if !s.Leaving {
			l.usable++
		}
	}
	l.idleAt = idleAt
	l.updateQueryRate(now)
	l.dispatchQueued(now)
}

// Place starts an attempt of the call and chooses its server. A first attempt is queued
// if other calls are queued or no server has capacity. A retry is queued only if no
// server has capacity, and a hedge is refused then. A call that has tried every usable
// server is refused instead of queued. If Begin permits no attempt, the refusal has
// code.OK. Unqueried is true if the budgets allowed no load query before this attempt.
func (l *Lane) Place(ctx context.Context, now time.Time, r Request, unqueried bool) (Placement, *refusal.Refusal) {
	l.mu.Lock()
	kind, tried, ok := r.Begin(now, &l.budgets)
	if !ok {
		l.mu.Unlock()
		return Placement{}, &refusal.Refusal{Code: code.OK}
	}
	if kind != booking.First || l.queue.Len() == 0 {
		choice, ok := l.choose(now, l.requirements(tried).WithUnqueried(unqueried))
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
	joined := l.queue.Join(now, r.Ticket(id))
	if !joined.Waits {
		l.mu.Unlock()
		return Placement{}, &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: joined.RetryAfter}
	}
	assigned := make(chan mustardsaddle.Choice, 1)
	l.waiting[id] = queuedCall{tried: tried, assigned: assigned}
	l.mu.Unlock()
	p, refused := l.wait(ctx, now, id, joined.Until, assigned)
	p.Kind = kind
	return p, refused
}

// wait blocks until a server is assigned to the queued call, its wait expires or its
// context is done.
func (l *Lane) wait(ctx context.Context, since time.Time, id uint64, until time.Time, assigned chan mustardsaddle.Choice) (Placement, *refusal.Refusal) {
	poll := time.NewTicker(slot.PollInterval)
	defer poll.Stop()
	expiry := time.NewTimer(time.Until(until))
	defer expiry.Stop()
	for {
		select {
		case choice, ok := <-assigned:
			if !ok {
				return Placement{}, l.overloaded()
			}
			return Placement{Choice: choice, Queued: time.Since(since)}, nil
		case <-poll.C:
			l.poll(ctx, id)
			continue
		case <-expiry.C:
		case <-ctx.Done():
		}
		if l.leave(id) {
			return Placement{}, l.overloaded()
		}
		// The call was removed from the queue concurrently, so the channel holds a
		// server or is closed.
		choice, ok := <-assigned
		if !ok {
			return Placement{}, l.overloaded()
		}
		return Placement{Choice: choice, Queued: time.Since(since)}, nil
	}
}

// poll queries server load and retries the queue if the call is at its head.
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
	l.dispatchQueued(time.Now())
}

// leave removes the call from the queue. It returns false if the call has already
// been removed.
func (l *Lane) leave(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Leave(id) {
		return false
	}
	delete(l.waiting, id)
	return true
}

// overloaded returns the refusal of a call whose wait expired.
func (l *Lane) overloaded() *refusal.Refusal {
	return &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: l.RetryAfter()}
}

// requirements returns the requirements of an attempt that excludes the servers already
// tried.
func (l *Lane) requirements(tried []string) mustardsaddle.Requirements {
	return mustardsaddle.Requirements{Exclude: tried, Zone: l.lanes.cfg.Zone, Bytes: int(l.responseBytes)}
}

// choose picks a server that is below its concurrency limit and counts the attempt
// as in flight.
func (l *Lane) choose(now time.Time, reqs mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	for {
		choice, ok := l.chooser.Choose(now, l.rng, reqs)
		if !ok || l.limits.Acquire(choice.Server.Name, l.limit(choice.Server)) {
			return choice, ok
		}
		l.chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.NotRun, Canceled: true})
		reqs.Exclude = append(slices.Clip(reqs.Exclude), choice.Server.Name)
	}
}

// limit returns the maximum number of attempts that this gateway may have in flight
// to a server: its share of the server's connections less the idle ones that the
// connection pool may keep. The connection count set in the rules for the service
// takes precedence over the server's own. If neither is set, there is no limit.
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

// dispatchQueued expires queued calls whose wait is over, then assigns servers to the
// remaining ones in order while servers have capacity. The caller holds mu.
func (l *Lane) dispatchQueued(now time.Time) {
	for _, id := range l.queue.Expired(now) {
		close(l.waiting[id].assigned)
		delete(l.waiting, id)
	}
	for {
		id, ok := l.queue.First(now)
		if !ok {
			return
		}
		queued := l.waiting[id]
		choice, ok := l.choose(now, l.requirements(queued.tried))
		if !ok {
			return
		}
		l.queue.Leave(id)
		queued.assigned <- choice
		delete(l.waiting, id)
	}
}

// Answered records the time from sending a request to receiving its response header.
func (l *Lane) Answered(latency time.Duration) {
	l.Metrics.Header.RecordDuration(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.Add(latency)
}

// Relayed records the size of a response.
func (l *Lane) Relayed(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responseBytes += (float64(bytes) - l.responseBytes) * responseSizeWeight
}

// Alive reports whether a connection to the server became idle within
// connection.AliveWindow, and so is likely to be still open.
func (l *Lane) Alive(now time.Time, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.idleAt[server]) < connection.AliveWindow
}

// Finish records the result of an attempt, releases its slot and assigns servers to
// queued calls. Kept is true if the connection returned to the pool.
func (l *Lane) Finish(now time.Time, result mustardsaddle.Result, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept {
		l.idleAt[result.Server] = now
	}
	l.chooser.Finish(now, result)
	l.logExclusions()
	l.limits.Release(result.Server)
	latency := result.Latency
	if result.Outcome != mustardsaddle.Ran {
		latency = 0
	}
	l.queue.Released(now, latency)
	l.dispatchQueued(now)
}

// observe processes a load report, after which queued calls may find a server with
// capacity.
func (l *Lane) observe(now time.Time, server string, rep mustardsaddle.Report) {
	l.mu.Lock()
	l.chooser.Observe(now, server, rep)
	l.dispatchQueued(now)
	l.mu.Unlock()
	if l.lanes.cfg.OnReport != nil {
		l.lanes.cfg.OnReport(now, l.Service, server, rep)
	}
}

// ObserveHeader processes the load report in a response header, if there is one.
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

// HedgeDelay returns how long to wait for a response before sending a hedge. It
// returns false if hedging is disabled or no second server is available.
func (l *Lane) HedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay, known := l.latency.Value()
	if !known {
		delay = initialHedgeDelay
	}
	return max(delay, l.lanes.cfg.MinHedge), l.usable > 1 && l.lanes.cfg.HedgeShare > 0
}

// RetryAfter returns the delay after which a refused caller should retry.
func (l *Lane) RetryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.RetryAfter()
}

// TakeRetry takes one retry from the budget for a request that is not an attempt of
// a call, and reports whether the budget allowed it.
func (l *Lane) TakeRetry(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budgets.TakeRetry(now)
}

// probe returns the server that the chooser wants probed next, if any.
func (l *Lane) probe(now time.Time) (mustardsaddle.Server, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chooser.Probe(now, l.rng)
}

// TakeOther picks a server other than the named one, or the named one if no other
// has capacity.
func (l *Lane) TakeOther(now time.Time, server string) (mustardsaddle.Choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if choice, ok := l.choose(now, l.requirements([]string{server})); ok {
		return choice, true
	}
	return l.choose(now, l.requirements(nil))
}

// logExclusions logs each server that the chooser has excluded since the last call. The
// caller holds mu.
func (l *Lane) logExclusions() {
	querier, ok := l.chooser.(mustardsaddle.LoadQuerier)
	if !ok {
		return
	}
	for _, e := range querier.Exclusions() {
		event.Info(l.lanes.cfg.Logger, event.ServerOut).Str("Service", l.Service).Str("Server", e.Server).
			Str("Reason", e.Reason).Dur("For", e.Duration).Float64("Failures", e.FailureRate).Send()
	}
}
