// Package gateway serves callers: it matches a rule, chooses an endpoint
// server, sends the request and relays the answer.
//
// # Usage
//
//	g := gateway.New(gateway.Config{Name: "gateway-1", Logger: logger})
//	g.SetRules(table)
//	g.SetServers(now, "Booking", servers)
//	http.Serve(listener, g)
package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/event"
)

// Headers that tell a caller what became of the request.
const (
	OutcomeHeader = "Mustardsaddle-Outcome"
	CodeHeader    = "Mustardsaddle-Code"
	AttemptHeader = "Mustardsaddle-Attempt"
)

// Config configures a Gateway.
type Config struct {
	// Name identifies this gateway in attempt ids.
	Name string
	// Zone is this gateway's availability zone.
	Zone string
	// Deadline bounds a call whose rule states none.
	Deadline time.Duration
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the random choices.
	Seed uint64
}

// Gateway is the handler of callers' requests. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	rules    atomic.Pointer[rule.Table]
	client   *http.Transport
	attempts atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	benches map[string]*bench.Bench
}

// New returns a Gateway without rules.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg: cfg,
		client: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableCompression: true,
		},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		benches: make(map[string]*bench.Bench),
	}
}

// SetRules puts a rules table in force.
func (g *Gateway) SetRules(t *rule.Table) {
	g.rules.Store(t)
}

// Rules returns the table in force, or nil.
func (g *Gateway) Rules() *rule.Table {
	return g.rules.Load()
}

// SetServers replaces the known servers of a service.
func (g *Gateway) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.benches[service]
	if b == nil {
		b = bench.New(bench.Config{})
		g.benches[service] = b
	}
	b.SetServers(now, servers)
}

// ServeHTTP answers one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := g.rules.Load()
	if table == nil {
		g.refuse(w, r, http.StatusServiceUnavailable, mustardsaddle.NotRun, code.CallNotReady)
		return
	}
	found, ok := table.Match(r)
	if !ok {
		g.refuse(w, r, http.StatusNotFound, mustardsaddle.NotRun, code.CallNoRule)
		return
	}
	deadline := found.Deadline
	if deadline == 0 {
		deadline = g.cfg.Deadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	g.forward(ctx, w, r, found)
}

func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, found rule.Rule) {
	choice, ok := g.choose(found.Service)
	if !ok {
		g.refuse(w, r, http.StatusServiceUnavailable, mustardsaddle.NotRun, code.CallNoServer)
		return
	}
	id := fmt.Sprintf("%s-%d", g.cfg.Name, g.attempts.Add(1))
	event.Info(g.cfg.Logger, event.RouteChosen).Str("Attempt", id).Str("Service", found.Service).
		Str("Server", choice.Server.Name).Str("Reason", choice.Reason).Send()
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = choice.Server.Address
	out.RequestURI = ""
	out.Header.Set(AttemptHeader, id)
	start := time.Now()
	resp, err := g.client.RoundTrip(out)
	result := mustardsaddle.Result{Server: choice.Server.Name, Latency: time.Since(start)}
	if err != nil {
		result.Failed = true
		g.finish(found.Service, result)
		g.refuse(w, r, http.StatusBadGateway, mustardsaddle.Unknown, code.CallBroken)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	result.Outcome = mustardsaddle.Ran
	g.observe(found.Service, choice.Server.Name, resp.Header)
	defer g.finish(found.Service, result)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.Header().Set(OutcomeHeader, mustardsaddle.Ran.String())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) choose(service string) (mustardsaddle.Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.benches[service]
	if b == nil {
		return mustardsaddle.Choice{}, false
	}
	return b.Choose(time.Now(), g.rng, mustardsaddle.Need{Zone: g.cfg.Zone})
}

func (g *Gateway) finish(service string, result mustardsaddle.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.benches[service].Finish(time.Now(), result)
}

func (g *Gateway) observe(service, name string, h http.Header) {
	rep, err := report.Parse(time.Now(), h.Get(report.Header))
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.benches[service].Observe(time.Now(), name, rep)
}

// refuse answers at once with what is known and when to come back.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, status int, outcome mustardsaddle.Outcome, c code.Code) {
	event.Warn(g.cfg.Logger, event.CallRefused).Str("Method", r.Method).Str("Path", r.URL.Path).
		Int("Code", int(c)).Str("Outcome", outcome.String()).Send()
	w.Header().Set(OutcomeHeader, outcome.String())
	w.Header().Set(CodeHeader, strconv.Itoa(int(c)))
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "Code=%d Outcome=%s\n", int(c), outcome)
}
