package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

const (
	// budgetBurst is the burst size of the retry budget and of the hedge budget.
	budgetBurst = 10
	// responseSizeWeight is the weight of a new sample in the moving average of response
	// sizes.
	responseSizeWeight = 0.05
	// defaultFleetSize is the fleet size used until the real one is known.
	defaultFleetSize = 32
	// retrySpread is the largest part by which the Retry-After of a call that no server
	// may get is longer than the wait, so that callers do not return all at once.
	retrySpread = 0.25
	// dialProbeInterval is the time between two requests that are let through to find out
	// whether connections can be opened again.
	dialProbeInterval = 250 * time.Millisecond
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
	// usable is the number of servers that are neither leaving nor evacuated.
	usable int
	// known holds the servers that the chooser may choose; nil for all.
	known map[string]bool
	// responseBytes and requestBytes are the moving averages of the sizes of responses and
	// requests.
	responseBytes, requestBytes float64
	// queryLimit limits the load queries that this gateway sends to the service.
	queryLimit *survey.QueryLimiter
	idleAt     map[string]time.Time // when a connection to the server last became idle
	// paths decides whether this gateway can reach the servers, and dials whether it can
	// open connections to them.
	paths, dials *reach.Detector
	// dialProbedAt is when a request was last let through to find out whether connections
	// can be opened again.
	dialProbedAt time.Time
	// queriedAt is when the last load query was sent, and reports is true once a server of
	// the service has reported its load.
	queriedAt time.Time
	reports   bool
	// left follows the share of attempts that leave the availability zone.
	left spill.Meter
	// onLost holds functions to call when the service is lost.
	onLost map[*func()]struct{}
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
		queue:      slot.New(slot.Config{MaxQueued: cfg.MaxQueued, MinRetryAfter: cfg.MinRetryAfter, LateLast: cfg.LateLast}),
		waiting:    make(map[uint64]queuedCall),
		idleAt:     make(map[string]time.Time),
		queryLimit: survey.NewQueryLimiter(cfg.MaxLoadQueries),
		paths:      reach.New(),
		dials:      reach.New(),
		onLost:     make(map[*func()]struct{}),
	}
	if cfg.RetryWindow > 0 {
		c.budgets.Window = booking.NewWindow(cfg.RetryWindow)
	}
	return c
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

// updateServers passes the listed servers on, without those in evacuated zones and marked
// with what they have stated. The caller holds mu.
func (c *Controller) updateServers(now time.Time) {
	servers := withoutEvacuated(c.controllers.statements.withLeaving(now, c.listed))
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
	c.updatePaths(servers)
	c.updateQueryRate(now)
	if c.evacuated() {
		c.endAllWaits()
	}
	c.dispatchQueued(now)
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

// RecordRequestSize records the size of a request; a negative one is unknown.
func (c *Controller) RecordRequestSize(bytes int64) {
	if bytes < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBytes += (float64(bytes) - c.requestBytes) * responseSizeWeight
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
	c.reports = true
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
	c.observeWarmUp(now, r)
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
func (c *Controller) RetryAfter(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryAfter(now)
}

// retryAfter is RetryAfter for a caller that holds mu. If no server may get a request by
// their own statements, the delay is at least the time until one may.
func (c *Controller) retryAfter(now time.Time) time.Duration {
	delay := c.queue.RetryAfter()
	wait, restricted := c.restrictedWait(now, nil)
	if !restricted || wait == quota.Never {
		return delay
	}
	spread := 1 + c.rng.Float64()*retrySpread
	return max(delay, time.Duration(float64(wait)*spread))
}

// Resume calls begin, which decides whether a request is sent once more for the rest of its
// response, with the budgets, and reports its decision.
func (c *Controller) Resume(now time.Time, begin func(now time.Time, b *booking.Budgets) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := false
	c.begin(now, Request{Begin: func(now time.Time, b *booking.Budgets) (booking.Kind, []string, bool) {
		ok = begin(now, b)
		return booking.Retry, nil, ok
	}})
	return ok
}

// probe returns the server that the chooser wants probed next, if any.
func (c *Controller) probe(now time.Time) (mustardsaddle.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server, ok := c.chooser.Probe(now, c.rng)
	return server, ok && c.controllers.statements.take(now, server.Name)
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
