package admission

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
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
	// retrySpread is the largest part by which the Retry-After of a call that no server
	// may get is longer than the wait, so that callers do not return all at once.
	retrySpread = 0.25
	// initialHedgeDelay is the hedge delay used until enough latencies are recorded.
	initialHedgeDelay = 100 * time.Millisecond
)

// Controller is the admission controller of one service. It holds the load balancing
// policy, the queue and the budgets that the calls of the service share, all guarded
// by one mutex.
type Controller struct {
	controllers *Controllers
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
	// listed holds the servers of the service as the platform lists them.
	listed []mustardsaddle.Server
	usable int // number of servers that are not leaving
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
	// Controller calls it with its mutex held.
	Begin func(now time.Time, b *booking.Budgets) (kind booking.Kind, tried []string, ok bool)
	// Entry returns the call's queue entry under the given ID.
	Entry func(id uint64) slot.Entry
}

// Assignment is the server assigned to an attempt. The attempt counts as in flight
// until Finish.
type Assignment struct {
	// Kind says whether the attempt is a first attempt, a retry or a hedge.
	Kind   booking.Kind
	Choice mustardsaddle.Choice
	// Queued is the time that the call spent in the queue.
	Queued time.Duration
}

func newController(cs *Controllers, service string) *Controller {
	cfg := cs.cfg
	c := &Controller{
		controllers: cs,
		Service:     service,
		Metrics:     newMetrics(cfg.Metrics, service),
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(len(service)))),
		chooser:     cfg.NewChooser(service),
		budgets: booking.Budgets{
			Retry: newBudget(cfg.RetryShare),
			Hedge: newBudget(cfg.HedgeShare),
		},
		latency:    booking.Latency{Quantile: cfg.HedgeQuantile},
		limits:     slot.NewLimits(),
		queue:      slot.New(slot.Config{MaxQueued: cfg.MaxQueued, MinRetryAfter: cfg.MinRetryAfter}),
		waiting:    make(map[uint64]queuedCall),
		idleAt:     make(map[string]time.Time),
		queryLimit: survey.NewQueryLimiter(cfg.MaxLoadQueries),
	}
	if cfg.RetryWindow > 0 {
		c.budgets.Window = booking.NewWindow(cfg.RetryWindow)
	}
	c.updateRetryBounds()
	return c
}

// updateRetryBounds updates the retry bounds and divides the fleet's slack by the number
// of gateways. Part of the slack is held back for gateways that start without a record
// of the retries they have sent.
func (c *Controller) updateRetryBounds() {
	gateways := cmp.Or(c.controllers.gateways.Load(), defaultFleetSize)
	bounds := *c.controllers.retry.Load()
	bounds.Slack *= plannedSlackShare / float64(gateways)
	c.budgets.Bounds = bounds
}

// newBudget returns a budget for the given share of calls. A negative share grants
// nothing.
func newBudget(share float64) booking.Budget {
	if share < 0 {
		return booking.Budget{}
	}
	return booking.NewBudget(share, budgetBurst)
}

func (c *Controller) setServers(now time.Time, listed []mustardsaddle.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = listed
	c.updateServers(now)
}

// markLeaving excludes the servers that have stated that they are leaving.
func (c *Controller) markLeaving(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateServers(now)
}

// updateServers passes the listed servers on, marked with what they have stated. The
// caller holds mu.
func (c *Controller) updateServers(now time.Time) {
	servers := c.controllers.statements.withLeaving(now, c.listed)
	c.chooser.SetServers(now, servers)
	c.usable = 0
	idleAt := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if at, ok := c.idleAt[s.Name]; ok {
			idleAt[s.Name] = at
		}
		if !s.Leaving {
			c.usable++
		}
	}
	c.idleAt = idleAt
	c.updateQueryRate(now)
	c.dispatchQueued(now)
}

// Admit starts an attempt of the call and chooses its server. A first attempt is queued
// if other calls are queued or no server has capacity. A retry is queued only if no
// server has capacity, and a hedge is refused then. A call that has tried every usable
// server is refused instead of queued, and so is a call if no server
// may get a request in time by their own statements. If Begin permits no attempt, the refusal has
// code.OK. Unqueried is true if the budgets allowed no load query before this attempt.
func (c *Controller) Admit(ctx context.Context, now time.Time, r Request, unqueried bool) (Assignment, *refusal.Refusal) {
	c.mu.Lock()
	kind, tried, ok := r.Begin(now, &c.budgets)
	if !ok {
		c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.OK}
	}
	if kind != booking.First || c.queue.Len() == 0 {
		choice, ok := c.choose(now, c.requirements(now, tried).WithUnqueried(unqueried))
		if ok {
			c.mu.Unlock()
			return Assignment{Kind: kind, Choice: choice}, nil
		}
	}
	if kind == booking.Hedge || c.usable <= len(tried) {
		defer c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.CallNoServer, Outcome: mustardsaddle.NotRun, RetryAfter: c.queue.RetryAfter()}
	}
	c.lastID++
	id := c.lastID
	entry := r.Entry(id)
	if refused := c.refuseRestricted(now, entry); refused != nil {
		c.mu.Unlock()
		return Assignment{}, refused
	}
	joined := c.queue.Join(now, entry)
	if !joined.Queued {
		c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: joined.RetryAfter}
	}
	assigned := make(chan mustardsaddle.Choice, 1)
	c.waiting[id] = queuedCall{tried: tried, assigned: assigned}
	c.mu.Unlock()
	assignment, refused := c.wait(ctx, now, id, joined.ExpiresAt, assigned)
	assignment.Kind = kind
	return assignment, refused
}

// refuseRestricted refuses a call if no server may get a request, by their own statements,
// before the call's wait in the queue would expire. The caller holds mu.
func (c *Controller) refuseRestricted(now time.Time, e slot.Entry) *refusal.Refusal {
	restricted := c.controllers.statements.restrictions(now, c.Service)
	if len(restricted.excluded) < c.usable {
		return nil
	}
	maxWait := e.Deadline.Sub(now)
	if e.MaxWait > 0 {
		maxWait = min(maxWait, e.MaxWait)
	}
	if restricted.wait <= maxWait {
		return nil
	}
	retryAfter := c.queue.RetryAfter()
	if restricted.wait != quota.Never {
		spread := 1 + c.rng.Float64()*retrySpread
		retryAfter = max(retryAfter, time.Duration(float64(restricted.wait)*spread))
	}
	return &refusal.Refusal{Code: code.CallLimited, Outcome: mustardsaddle.NotRun, RetryAfter: retryAfter}
}

// wait blocks until a server is assigned to the queued call, its wait expires or its
// context is done.
func (c *Controller) wait(ctx context.Context, since time.Time, id uint64, expiresAt time.Time, assigned chan mustardsaddle.Choice) (Assignment, *refusal.Refusal) {
	poll := time.NewTicker(slot.PollInterval)
	defer poll.Stop()
	expiry := time.NewTimer(time.Until(expiresAt))
	defer expiry.Stop()
	for {
		select {
		case choice, ok := <-assigned:
			if !ok {
				return Assignment{}, c.overloaded()
			}
			return Assignment{Choice: choice, Queued: time.Since(since)}, nil
		case <-poll.C:
			c.poll(ctx, id)
			continue
		case <-expiry.C:
		case <-ctx.Done():
		}
		if c.removeQueued(id) {
			return Assignment{}, c.overloaded()
		}
		// The call was removed from the queue concurrently, so the channel holds a
		// server or is closed.
		choice, ok := <-assigned
		if !ok {
			return Assignment{}, c.overloaded()
		}
		return Assignment{Choice: choice, Queued: time.Since(since)}, nil
	}
}

// poll queries server load and retries the queue if the call is at its head.
func (c *Controller) poll(ctx context.Context, id uint64) {
	c.mu.Lock()
	next, ok := c.queue.Next(time.Now())
	tried := c.waiting[id].tried
	c.mu.Unlock()
	if !ok || next != id {
		return
	}
	c.QueryLoad(ctx, tried)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchQueued(time.Now())
}

// removeQueued removes the call from the queue. It returns false if the call has already
// been removed.
func (c *Controller) removeQueued(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Remove(id) {
		return false
	}
	delete(c.waiting, id)
	return true
}

// overloaded returns the refusal of a call whose wait expired.
func (c *Controller) overloaded() *refusal.Refusal {
	return &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: c.RetryAfter()}
}

// requirements returns the requirements of an attempt that excludes the servers already
// tried and those that may not get a request now by their own statements.
func (c *Controller) requirements(now time.Time, tried []string) mustardsaddle.Requirements {
	restricted := c.controllers.statements.restrictions(now, c.Service)
	return mustardsaddle.Requirements{
		Exclude: append(slices.Clip(tried), restricted.excluded...), Limited: restricted.limited,
		Zone: c.controllers.cfg.Zone, Bytes: int(c.responseBytes),
	}
}

// choose picks a server that is below its limits and counts the attempt as in flight.
func (c *Controller) choose(now time.Time, reqs mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	for {
		choice, ok := c.chooser.Choose(now, c.rng, reqs)
		if !ok {
			return choice, false
		}
		if c.limits.Acquire(choice.Server.Name, c.limit(choice.Server)) {
			if c.controllers.statements.take(now, choice.Server.Name) {
				return choice, true
			}
			c.limits.Release(choice.Server.Name)
		}
		c.chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.NotRun, Canceled: true})
		reqs.Exclude = append(slices.Clip(reqs.Exclude), choice.Server.Name)
	}
}

// limit returns the maximum number of attempts that this gateway may have in flight
// to a server: its share of the server's connections less the idle ones that the
// connection pool may keep. The connection count set in the rules for the service
// takes precedence over the server's own. If neither is set, there is no limit.
func (c *Controller) limit(s mustardsaddle.Server) int {
	connections := s.Connections
	if table := c.controllers.cfg.Rules(); table != nil {
		connections = cmp.Or(table.Service(c.Service).Connections, connections)
	}
	if connections == 0 {
		return math.MaxInt
	}
	return max(slot.Connections(connections, int(c.controllers.gateways.Load()))-connection.MaxIdlePerServer, 1)
}

// dispatchQueued expires queued calls whose wait is over, then assigns servers to the
// remaining ones in order while servers have capacity. The caller holds mu.
func (c *Controller) dispatchQueued(now time.Time) {
	for _, id := range c.queue.RemoveExpired(now) {
		close(c.waiting[id].assigned)
		delete(c.waiting, id)
	}
	for {
		id, ok := c.queue.Next(now)
		if !ok {
			return
		}
		queued := c.waiting[id]
		choice, ok := c.choose(now, c.requirements(now, queued.tried))
		if !ok {
			return
		}
		c.queue.Remove(id)
		queued.assigned <- choice
		delete(c.waiting, id)
	}
}

// RecordLatency records the time from sending a request to receiving its response header.
func (c *Controller) RecordLatency(latency time.Duration) {
	c.Metrics.Header.RecordDuration(latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency.Add(latency)
}

// RecordResponseSize records the size of a response.
func (c *Controller) RecordResponseSize(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseBytes += (float64(bytes) - c.responseBytes) * responseSizeWeight
}

// RecentlyIdle reports whether a connection to the server became idle within
// connection.LivenessWindow, and so is likely to be still open.
func (c *Controller) RecentlyIdle(now time.Time, server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.idleAt[server]) < connection.LivenessWindow
}

// Finish records the result of an attempt, releases its slot and assigns servers to
// queued calls. Kept is true if the connection returned to the pool.
func (c *Controller) Finish(now time.Time, result mustardsaddle.Result, kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept {
		c.idleAt[result.Server] = now
	}
	c.chooser.Finish(now, result)
	c.logExclusions()
	c.limits.Release(result.Server)
	latency := result.Latency
	if result.Outcome != mustardsaddle.Ran {
		latency = 0
	}
	c.queue.RecordRelease(now, latency)
	c.dispatchQueued(now)
}

// observe processes a load report, after which queued calls may find a server with
// capacity.
func (c *Controller) observe(now time.Time, server string, rep mustardsaddle.Report) {
	c.mu.Lock()
	c.chooser.Observe(now, server, rep)
	c.dispatchQueued(now)
	c.mu.Unlock()
	if c.controllers.cfg.OnReport != nil {
		c.controllers.cfg.OnReport(now, c.Service, server, rep)
	}
}

// ObserveResponse processes the load report and the statement in a response header, if
// there are any.
func (c *Controller) ObserveResponse(now time.Time, r Response) {
	c.observeStatement(now, r)
	names := c.controllers.cfg.Headers
	text := r.Header.Get(names.Load)
	if text == "" {
		return
	}
	rep, err := names.ParseLoad(now, text)
	if err != nil {
		c.Metrics.BadReports.Inc(1)
		return
	}
	c.observe(now, r.Server.Name, rep)
}

// HedgeDelay returns how long to wait for a response before sending a hedge. It
// returns false if hedging is disabled or no second server is available.
func (c *Controller) HedgeDelay() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay, known := c.latency.Value()
	if !known {
		delay = initialHedgeDelay
	}
	return max(delay, c.controllers.cfg.MinHedge), c.usable > 1 && c.controllers.cfg.HedgeShare > 0
}

// RetryAfter returns the delay after which a refused caller should retry.
func (c *Controller) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.RetryAfter()
}

// TakeRetry takes one retry from the budget for a request that booking.Call does not
// count, such as one that resumes a download, and reports whether the budget allowed
// it.
func (c *Controller) TakeRetry(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budgets.TakeRetry(now)
}

// probe returns the server that the chooser wants probed next, if any.
func (c *Controller) probe(now time.Time) (mustardsaddle.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server, ok := c.chooser.Probe(now, c.rng)
	return server, ok && c.controllers.statements.take(now, server.Name)
}

// ChooseOther picks a server other than the named one, or the named one if no other
// has capacity.
func (c *Controller) ChooseOther(now time.Time, server string) (mustardsaddle.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if choice, ok := c.choose(now, c.requirements(now, []string{server})); ok {
		return choice, true
	}
	return c.choose(now, c.requirements(now, nil))
}

// logExclusions logs each server that the chooser has excluded since the last call. The
// caller holds mu.
func (c *Controller) logExclusions() {
	querier, ok := c.chooser.(mustardsaddle.LoadQuerier)
	if !ok {
		return
	}
	for _, e := range querier.Exclusions() {
		event.Info(c.controllers.cfg.Logger, event.ServerOut).Str("Service", c.Service).Str("Server", e.Server).
			Str("Reason", e.Reason).Dur("For", e.Duration).Float64("Failures", e.FailureRate).Send()
	}
}
