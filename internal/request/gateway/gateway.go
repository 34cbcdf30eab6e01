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
	defaultMaxAttempts = 3
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 15 * time.Second
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
	// Deadline bounds the time to the response header where a rule states none.
	Deadline time.Duration
	// Progress bounds how long a body, in either direction, may stand still.
	Progress time.Duration
	// BodyBytes bounds a caller's body.
	BodyBytes int64
	// ReplayBytes bounds the body that is kept so that it can be sent again.
	ReplayBytes int64
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts int
	// DialTimeout bounds the opening of a connection to a server.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection to a server is kept.
	IdleTimeout time.Duration
	// Headers names what callers and servers say in headers; nil means the
	// project's own names.
	Headers *mustardsaddle.Headers
	// Admission says when attempts may go, and where.
	Admission admission.Options
	// Services holds the declarations by service.
	Services map[string]Service
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
	setDefault(&cfg.MaxAttempts, defaultMaxAttempts)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
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
	g.lanes = admission.NewLanes(admission.Config{
		Options: cfg.Admission, Name: cfg.Name, MinRetryAfter: cfg.minRetryAfter(), Transport: g.reuse,
		Headers: cfg.Headers, Rules: g.Rules, Metrics: cfg.Metrics, Logger: cfg.Logger, Seed: cfg.Seed,
	})
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
	return connection.NewErrorListener(ln, g.cfg.Logger)
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
