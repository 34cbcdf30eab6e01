// Package gateway is the HTTP reverse proxy of the load balancer. It takes each
// request through four stages:
//
//	match    finds the rule, and refuses requests that cannot be forwarded unchanged
//	admit    selects a server, queues while waiting is useful, or refuses at once;
//	         see package admission
//	attempt  sends the request once, and classifies the outcome
//	relay    relays the complete response, or visibly aborts it
//
// What the caller is told about the execution of its request follows from the outcome
// alone. NotRun: no byte of the request was written, or the server declared that it
// did not execute it. Ran: a complete response header was received. Unknown: anything
// else.
//
// # Sending once
//
// Package booking alone decides whether a request is sent again. http.Transport,
// however, resends a request without a body, or with an Idempotency-Key, by itself
// when a reused connection breaks. Two things prevent that: a request on a reused
// connection has a body without GetBody, and writes are blocked on a second connection
// within one attempt. A request that runs at most once uses a new connection, or one
// that returned a response a moment ago.
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
//	g.SetStopping(period)
//	g.Shutdown(ctx, srv)
//	...
//	g.EndCalls()
package gateway

import (
	"cmp"
	"context"
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
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/isolation"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// Default values of Config.
const (
	defaultDeadline        = 10 * time.Second
	defaultProgressTimeout = 15 * time.Second
	defaultMaxBodyBytes    = 1 << 30
	defaultMaxReplayBytes  = 64 << 10
	defaultMaxAttempts     = 3
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 15 * time.Second
	defaultBufferBytes     = 32 << 20
)

// ServiceConfig declares how the servers of a service report a request that they did
// not execute.
type ServiceConfig struct {
	// NotRunStatus is the status code that, together with NotRunHeader, means that the
	// server did not execute the request; 0 if servers never declare this.
	NotRunStatus int
	// NotRunHeader is the header that must be present along with NotRunStatus.
	NotRunHeader string
}

// Config configures a Gateway. A limit of zero means the default.
type Config struct {
	// Name identifies this gateway in attempt IDs and in Via.
	Name string
	// Deadline is the timeout for the response header if the rule has none.
	Deadline time.Duration
	// ProgressTimeout is the timeout for a request or response body that makes no
	// progress.
	ProgressTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxReplayBytes is the maximum size of a request body that is buffered for
	// retries.
	MaxReplayBytes int64
	// MaxAttempts is the maximum number of attempts of one call.
	MaxAttempts int
	// DialTimeout bounds the time to open a connection to a server.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection to a server is kept.
	IdleTimeout time.Duration
	// Buffers bounds the memory for parts of messages that are kept; the zero value means 32 MiB.
	Buffers buffer.Budget
	// Headers configures the headers exchanged with callers and servers; nil means the
	// project's own names.
	Headers *mustardsaddle.Headers
	// Admission configures admission control and the selection of servers.
	Admission admission.Options
	// Services holds the declarations by service.
	Services map[string]ServiceConfig
	// Quarantine configures when requests under which servers end are no longer sent.
	Quarantine quarantine.Config
	// OnSuspicion, if set, is called with what the other gateways have to know about such
	// requests. It must not block.
	OnSuspicion func(s mustardsaddle.RequestSuspicion)
	// Claims stores the claims of requests whose rule has Repeat=Claim; if nil, such
	// requests are refused.
	Claims mustardsaddle.ClaimStore
	// Quota divides the quotas of customers among the gateways; nil enforces none.
	Quota mustardsaddle.CustomerQuota
	// RulesAge returns an upper bound of the time for which the rules in force may have
	// been out of date; nil if that is not known. It must not block.
	RulesAge func(now time.Time) time.Duration
	// MaxRulesAge is the age of the rules above which an unknown key may be in newer ones.
	MaxRulesAge time.Duration
	// Forwarding configures the calls that are forwarded to other gateways.
	Forwarding ForwardingConfig
	// DialServer opens connections to servers; nil means a net.Dialer.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics receives counters and histograms; nil disables them.
	Metrics tally.Scope
	// Logger receives the log events.
	Logger zerolog.Logger
	// Seed seeds the random number generators.
	Seed uint64
}

// withDefaults replaces zero values by the defaults.
func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Deadline, defaultDeadline)
	setDefault(&cfg.ProgressTimeout, defaultProgressTimeout)
	setDefault(&cfg.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&cfg.MaxReplayBytes, defaultMaxReplayBytes)
	setDefault(&cfg.MaxAttempts, defaultMaxAttempts)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.MaxRulesAge, defaultMaxRulesAge)
	if cfg.Buffers == (buffer.Budget{}) {
		cfg.Buffers = buffer.New(defaultBufferBytes)
	}
	if cfg.Headers == nil {
		cfg.Headers = &mustardsaddle.Headers{
			Deadline: header.Deadline, Load: report.Header, ParseLoad: report.Parse,
			Limit: statement.LimitHeader, Leaving: statement.LeavingHeader,
		}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return cfg
}

// transport returns a transport for connections to servers.
func (cfg Config) transport(reuse bool) *http.Transport {
	return connection.NewTransport(connection.TransportConfig{
		DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.IdleTimeout, Reuse: reuse, Dial: cfg.DialServer,
		Counted: connection.CountedConfig{Last: cfg.isUnnamedRefusal, LastFields: cfg.refusalFields(), Heads: cfg.Buffers.Heads},
	})
}

// setDefault replaces a zero value by the default.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Gateway is the HTTP handler for callers' requests. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	rules    atomic.Pointer[rule.Table]
	pooled   *http.Transport
	unpooled *http.Transport
	// toGateways holds the transports for connections to other gateways.
	toGateways peerTransports
	forwarder  *forward.Forwarder
	isolation  *isolation.Isolation
	arrivals   *arrivals
	carried    atomic.Int64
	// refusedForwards counts the calls of other gateways that were refused at once.
	refusedForwards tally.Counter
	customerHeaders customerHeaders
	// keysUnknown counts requests without the key of a customer, and callsOverQuota those
	// beyond the quota of their customer.
	keysUnknown, callsOverQuota tally.Counter
	attemptPrefix               string
	header                      header.Gateway
	attemptSeq                  atomic.Uint64
	inFlight                    atomic.Int64
	controllers                 *admission.Controllers
	buffers                     sync.Pool
	stop                        stopState
	// listener accepts the connections of callers; nil before Listener.
	listener net.Listener
	// idle tracks the idle connections of callers; nil before NewServer.
	idle *connection.IdleCloser

	// refusalMu guards refusalLines.
	refusalMu    sync.Mutex
	refusalLines refusal.Lines

	mu sync.Mutex
	// rng selects the service of a call by weight, and spreads retries; it is guarded by mu.
	rng *rand.Rand
}

var _ http.Handler = (*Gateway)(nil)

// New returns a Gateway without rules.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{
		cfg:             cfg,
		pooled:          cfg.transport(true),
		unpooled:        cfg.transport(false),
		attemptPrefix:   cfg.Name + "-" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-",
		header:          header.NewGateway(cfg.Name),
		rng:             rand.New(rand.NewPCG(cfg.Seed, 4)),
		toGateways:      newPeerTransports(cfg),
		refusedForwards: cfg.Metrics.Counter("ForwardsRefused"),
		arrivals:        newArrivals(cfg.Admission.LateLast),
		customerHeaders: newCustomerHeaders(cfg.Headers),
		keysUnknown:     cfg.Metrics.Counter("KeysUnknown"),
		callsOverQuota:  cfg.Metrics.Counter("CallsOverQuota"),
	}
	g.stop.calls, g.stop.endCalls = context.WithCancelCause(context.Background())
	self := cfg.Forwarding.Self
	self.Name = cmp.Or(self.Name, cfg.Name)
	g.forwarder = forward.NewForwarder(self, rand.New(rand.NewPCG(cfg.Seed, 5)))
	g.isolation = isolation.New(isolation.Config{
		Quarantine: cfg.Quarantine, Name: cfg.Name, OnSuspicion: cfg.OnSuspicion, Logger: cfg.Logger,
	})
	g.controllers = admission.NewControllers(admission.Config{
		Options: cfg.Admission, Name: cfg.Name, MinRetryAfter: cfg.minRetryAfter(), Transport: g.pooled,
		Dial: cfg.DialServer, Headers: cfg.Headers, Rules: g.Rules, Metrics: cfg.Metrics, Logger: cfg.Logger, Seed: cfg.Seed,
	})
	g.buffers.New = func() any { return new([copyBufferBytes]byte) }
	return g
}

// SetRules replaces the rules table in force.
func (g *Gateway) SetRules(t *rule.Table) {
	g.rules.Store(t)
}

// Rules returns the rules table in force, or nil.
func (g *Gateway) Rules() *rule.Table {
	return g.rules.Load()
}

// Controllers returns the admission controllers of all services, which a Prober
// needs.
func (g *Gateway) Controllers() *admission.Controllers {
	return g.controllers
}

// SetServers replaces the known servers of a service.
func (g *Gateway) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	g.controllers.SetServers(now, service, servers)
}

// SetFleet replaces the list of gateway VMs, including this one.
func (g *Gateway) SetFleet(now time.Time, gateways []mustardsaddle.VM) {
	g.forwarder.SetFleet(gateways)
	g.isolation.SetFleet(gateways)
	g.controllers.SetFleet(now, gateways)
}

// SetListed records that this gateway is on a list of all gateways, which has the given
// names.
func (g *Gateway) SetListed(now time.Time, names []string) {
	g.controllers.SetListed(now, names)
}

// SetRetryBudget changes the bounds of retries and hedges in a window: the share earned
// by each call and the slack of the whole fleet.
func (g *Gateway) SetRetryBudget(now time.Time, bounds booking.Bounds) {
	g.controllers.SetRetryBudget(now, bounds)
}

// Listener wraps the listener for callers, so that the error responses of net/http
// itself have a code and an outcome.
func (g *Gateway) Listener(ln net.Listener) net.Listener {
	g.listener = connection.NewListener(ln, connection.ListenerConfig{
		RequestID: g.cfg.Headers.RequestID, Metrics: g.cfg.Metrics.Tagged(map[string]string{"From": "Caller"}), Logger: g.cfg.Logger,
	})
	return g.listener
}

// InFlight returns the number of calls in progress.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// Close closes the idle connections to servers.
func (g *Gateway) Close() {
	g.pooled.CloseIdleConnections()
	g.unpooled.CloseIdleConnections()
	g.toGateways.pooled.CloseIdleConnections()
}

// ServeHTTP serves a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serveFrom(w, r, nil)
}

// serveFrom serves a request of a caller or, if carried is not nil, of another gateway.
func (g *Gateway) serveFrom(w http.ResponseWriter, r *http.Request, carried *forward.Call) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	out := &responseWriter{ResponseWriter: w}
	if g.stopping() {
		out.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		g.serve(out, r, carried)
		return
	}
	// Without full duplex, net/http discards up to 256 KiB of the request body when
	// the response starts. HTTP/2 is always full duplex and returns an error here.
	_ = http.NewResponseController(out).EnableFullDuplex()
	discardRest(out, r, g.serve(out, r, carried))
}

// serve sends the final response to one request. It returns the call, or nil if the request was refused
// before there was one.
func (g *Gateway) serve(w *responseWriter, r *http.Request, carried *forward.Call) (c *call) {
	defer func() { g.endPanic(w, r, carried, c, recover()) }()
	now := time.Now()
	m, refused := g.match(r, carried)
	if refused != nil {
		if carried != nil {
			refused = refused.WithForward(carried.Gateway, 0)
		}
		g.refuse(w, r, "", refused)
		return nil
	}
	c = newCall(g, now, w, r, m)
	defer c.end()
	c.serve()
	return c
}

// nextAttempt returns an attempt ID that is unique across gateways and restarts.
func (g *Gateway) nextAttempt() string {
	return g.attemptPrefix + strconv.FormatUint(g.attemptSeq.Add(1), 36)
}
