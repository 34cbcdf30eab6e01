// Package gateway serves callers: it passes each request through a pipe of
// filters, each with one job and one typed result.
//
//	match    finds the rule, and refuses what could not be forwarded faithfully
//	admit    chooses a server, waits for one as long as is useful, or refuses now;
//	         package admission does that
//	attempt  sends the request once, and classifies the outcome
//	relay    passes the answer on whole, or visibly cuts it
//
// What a caller is told follows from the outcome alone. NotRun: no byte of the
// request was written, or the server declared that it did not run it. Ran: a full
// response header came. Unknown: anything else.
//
// # Sending once
//
// A request leaves only by a decision of package booking. http.Transport resends
// a request without a body, or with an Idempotency-Key, by itself when a reused
// connection breaks. Two things prevent that: what goes over a reused connection
// has a body without GetBody, and a second connection within one attempt refuses to
// write. A request that runs at most once takes a new connection, or one that has
// just carried an answer.
//
// # Usage
//
//	g := gateway.New(gateway.Config{Name: "gateway-1", Logger: logger})
//	g.SetRules(table)
//	g.SetServers(now, "Booking", servers)
//	g.SetFleet(now, gateways)
//	srv := gateway.NewServer(gateway.ServerConfig{Handler: g})
//	srv.Serve(g.Listener(listener))
//	...
//	g.SetStopping()
//	srv.Shutdown(ctx)
package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// Defaults of a Config.
const (
	defaultDeadline    = 10 * time.Second
	defaultProgress    = 15 * time.Second
	defaultBodyBytes   = 1 << 30
	defaultReplayBytes = 64 << 10
	defaultMaxWaiting  = 1024
	defaultMaxAttempts = 3
	defaultRetryShare  = 0.2
	defaultHedgeShare  = 0.05
	defaultQuantile    = 0.95
	defaultMinHedge    = 5 * time.Millisecond
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 15 * time.Second
	defaultAsk         = 8
)

// Service holds what a service's operators declare about its servers.
type Service struct {
	// NotRunStatus is the status by which a server says, together with
	// NotRunHeader, that it did not run a request; 0 if it never says so.
	NotRunStatus int
	// NotRunHeader is the header that must be present with NotRunStatus.
	NotRunHeader string
}

// Config configures a Gateway. Zero values of limits mean the default.
type Config struct {
	// Name identifies this gateway in attempt ids and in Via.
	Name string
	// Zone is this gateway's availability zone.
	Zone string
	// Deadline bounds the time to the response header where a rule states none.
	Deadline time.Duration
	// Progress bounds how long a body, in either direction, may stand still.
	Progress time.Duration
	// BodyBytes bounds a caller's body.
	BodyBytes int64
	// ReplayBytes bounds the body that is kept so that it can be sent again.
	ReplayBytes int64
	// MaxWaiting bounds the calls of one service that wait for a server; below 0
	// for none.
	MaxWaiting int
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts int
	// RetryShare is the number of retries that one call earns; below 0 for none.
	RetryShare float64
	// RetryWindow is the time over which retries and hedges together are bounded
	// by RetryShare of the calls and RetrySlack; 0 means that each call earns its
	// share instead.
	RetryWindow time.Duration
	// RetrySlack is how many retries and hedges all gateways together may send in
	// a window beyond the share.
	RetrySlack float64
	// HedgeShare is the number of hedges that one call earns; below 0 for none.
	HedgeShare float64
	// HedgeQuantile is the quantile of latencies after which a hedge is sent.
	HedgeQuantile float64
	// MinHedge is the shortest time after which a hedge is sent.
	MinHedge time.Duration
	// DialTimeout bounds the opening of a connection to a server.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection to a server is kept.
	IdleTimeout time.Duration
	// Headers names what callers and servers say in headers; nil means the
	// project's own names.
	Headers *mustardsaddle.Headers
	// Ask is how many servers are asked for their load before a call is sent, if
	// the chooser wants to know.
	Ask int
	// ProbePath is where servers tell their load if the rules do not say; empty
	// means /load.
	ProbePath string
	// ServerPerSecond is how many questions one server may get each second from all
	// gateways together.
	ServerPerSecond float64
	// Budget pays for what servers are asked; nil means that nothing is asked.
	Budget admission.Budget
	// Services holds the declarations by service.
	Services map[string]Service
	// NewChooser returns the chooser of a service; nil means package bench.
	NewChooser func(service string) mustardsaddle.Chooser
	// OnReport, if set, is told each load report. It must not block.
	OnReport func(now time.Time, service, server string, rep mustardsaddle.Report)
	// Claims, if set, keeps the claims of rules with Repeat=Claim; otherwise
	// such requests are refused.
	Claims mustardsaddle.Claims
	// Metrics takes counters and histograms; nil means none.
	Metrics tally.Scope
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the random choices.
	Seed uint64
}

// withDefaults fills in the zero values.
func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Deadline, defaultDeadline)
	setDefault(&cfg.Progress, defaultProgress)
	setDefault(&cfg.BodyBytes, defaultBodyBytes)
	setDefault(&cfg.ReplayBytes, defaultReplayBytes)
	setDefault(&cfg.MaxWaiting, defaultMaxWaiting)
	setDefault(&cfg.MaxAttempts, defaultMaxAttempts)
	setDefault(&cfg.RetryShare, defaultRetryShare)
	setDefault(&cfg.HedgeShare, defaultHedgeShare)
	setDefault(&cfg.HedgeQuantile, defaultQuantile)
	setDefault(&cfg.MinHedge, defaultMinHedge)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.ProbePath, admission.DefaultLoadPath)
	setDefault(&cfg.Ask, defaultAsk)
	if cfg.NewChooser == nil {
		cfg.NewChooser = func(string) mustardsaddle.Chooser { return bench.New(bench.Config{}) }
	}
	if cfg.Headers == nil {
		cfg.Headers = &mustardsaddle.Headers{Deadline: header.Deadline, Load: report.Header, ParseLoad: report.Parse}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return cfg
}

// transport returns the connections to servers.
func (cfg Config) transport(reuse bool) *http.Transport {
	return connection.NewTransport(connection.TransportConfig{
		DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.IdleTimeout, Reuse: reuse,
	})
}

// admission returns the part of the configuration that concerns admission.
func (cfg Config) admission(rules func() *rule.Table, transport *http.Transport) admission.Config {
	return admission.Config{
		Name: cfg.Name, Zone: cfg.Zone,
		MaxWaiting: cfg.MaxWaiting, MinRetryAfter: cfg.minRetryAfter(),
		RetryShare: cfg.RetryShare, RetryWindow: cfg.RetryWindow, RetrySlack: cfg.RetrySlack,
		HedgeShare: cfg.HedgeShare, HedgeQuantile: cfg.HedgeQuantile, MinHedge: cfg.MinHedge,
		Transport: transport, Headers: cfg.Headers,
		Ask: cfg.Ask, ProbePath: cfg.ProbePath, ServerPerSecond: cfg.ServerPerSecond, Budget: cfg.Budget,
		NewChooser: cfg.NewChooser, OnReport: cfg.OnReport, Rules: rules,
		Metrics: cfg.Metrics, Logger: cfg.Logger, Seed: cfg.Seed,
	}
}

// setDefault replaces a zero value.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Gateway is the handler of callers' requests. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	rules    atomic.Pointer[rule.Table]
	reuse    *http.Transport
	fresh    *http.Transport
	prefix   string
	header   header.Gateway
	attempts atomic.Uint64
	inFlight atomic.Int64
	stopping atomic.Bool
	lanes    *admission.Lanes
	buffers  sync.Pool

	mu sync.Mutex
	// rng draws the service of a call; it is guarded by mu.
	rng *rand.Rand
}

var _ http.Handler = (*Gateway)(nil)

// New returns a Gateway without rules.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{
		cfg:    cfg,
		reuse:  cfg.transport(true),
		fresh:  cfg.transport(false),
		prefix: cfg.Name + "-" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-",
		header: header.NewGateway(cfg.Name),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 4)),
	}
	g.lanes = admission.NewLanes(cfg.admission(g.Rules, g.reuse))
	g.buffers.New = func() any { return new([copyBufferBytes]byte) }
	return g
}

// SetRules puts a rules table in force.
func (g *Gateway) SetRules(t *rule.Table) {
	g.rules.Store(t)
}

// Rules returns the table in force, or nil.
func (g *Gateway) Rules() *rule.Table {
	return g.rules.Load()
}

// Lanes returns the lanes of the services, which a prober needs.
func (g *Gateway) Lanes() *admission.Lanes {
	return g.lanes
}

// SetServers replaces the known servers of a service.
func (g *Gateway) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	g.lanes.SetServers(now, service, servers)
}

// SetFleet tells which gateway VMs there are, this one included.
func (g *Gateway) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	g.lanes.SetFleet(now, gateways)
}

// SetRetry changes the bounds of retries and hedges in a window: the share that a
// call earns, and the slack of the whole fleet.
func (g *Gateway) SetRetry(now time.Time, bounds booking.Bounds) {
	g.lanes.SetRetry(now, bounds)
}

// Listener returns a listener for the callers' address. What net/http refuses by
// itself gets a code and an outcome there.
func (g *Gateway) Listener(ln net.Listener) net.Listener {
	return connection.NewFramed(ln, g.cfg.Logger)
}

// InFlight returns how many calls are being served.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// SetStopping ends each caller's connection after its present call. Calls in
// flight and new ones are served as before.
func (g *Gateway) SetStopping() {
	g.stopping.Store(true)
}

// Close closes the idle connections to servers.
func (g *Gateway) Close() {
	g.reuse.CloseIdleConnections()
	g.fresh.CloseIdleConnections()
}

// ServeHTTP answers one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		// Without full duplex, net/http drops up to 256 KiB of the body when the
		// answer begins. HTTP/2 always has it and says that it cannot be enabled.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	now := time.Now()
	m, no := g.match(r)
	if no != nil {
		g.refuse(w, r, "", no)
		return
	}
	c := newCall(g, now, w, r, m)
	defer c.timer.Stop()
	c.serve()
}

// nextAttempt returns a new attempt id, unique over gateways and restarts.
func (g *Gateway) nextAttempt() string {
	return g.prefix + strconv.FormatUint(g.attempts.Add(1), 36)
}
