package trial

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	// callTimeout bounds a call in a gateway.
	callTimeout = 2 * time.Second
	// maxTries bounds the attempts of one call, and roundTries those without a
	// pause.
	maxTries   = 16
	roundTries = 4
	// pollInterval is how often the first waiting call asks for a server.
	pollInterval = time.Millisecond
	// probeInterval is how often the budget is asked for a probe.
	probeInterval = 10 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 200 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
)

// front is the part of a gateway that a run needs.
type front interface {
	http.Handler
	// setServers replaces the known servers of a service.
	setServers(now time.Time, service string, servers []mustardsaddle.Server)
	// setFleet tells all gateways.
	setFleet(now time.Time, self string, gateways []mustardsaddle.VM)
	// cost returns what probes have cost.
	cost() report.Cost
	// close ends the probes.
	close()
}

// frontConfig configures a front.
type frontConfig struct {
	name      string
	zone      string
	candidate candidate
	services  []service
	seed      uint64
}

// driver is a thin gateway that does what a policy needs and no more: it queues
// in order of arrival, tries the next server on a shed, and probes.
type driver struct {
	cfg       frontConfig
	transport *http.Transport
	budget    *report.Budget
	lanes     map[string]*lane
	cancel    context.CancelFunc
	ended     chan struct{}
}

var _ front = (*driver)(nil)

// lane is the state of one service.
type lane struct {
	mu      sync.Mutex
	rng     *rand.Rand
	chooser mustardsaddle.FleetSetter
	waiting []chan struct{}
}

func newDriver(ctx context.Context, cfg frontConfig) *driver {
	ctx, cancel := context.WithCancel(ctx)
	d := &driver{
		cfg: cfg,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: probeTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			DisableCompression:  true,
		},
		budget: report.NewBudget(report.BudgetConfig{MessagesPerSecond: 20, BytesPerSecond: 8192, ServerMessagesPerSecond: 15}),
		lanes:  make(map[string]*lane),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	for i, svc := range cfg.services {
		d.lanes[svc.name] = &lane{rng: rand.New(rand.NewPCG(cfg.seed, uint64(i))), chooser: bench.New(cfg.candidate.cfg)}
	}
	go d.probe(ctx)
	return d
}

func (d *driver) setServers(now time.Time, service string, servers []mustardsaddle.Server) {
	l := d.lanes[service]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooser.SetServers(now, servers)
}

func (d *driver) setFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	d.budget.SetFleet(len(gateways))
	for _, l := range d.lanes {
		l.mu.Lock()
		l.chooser.SetFleet(now, self, gateways)
		l.mu.Unlock()
	}
}

func (d *driver) cost() report.Cost {
	return d.budget.Stats().Spent
}

func (d *driver) close() {
	d.cancel()
	<-d.ended
	d.transport.CloseIdleConnections()
}

// ServeHTTP forwards a call to a server of the service that its path names.
func (d *driver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	l := d.lanes[strings.Trim(r.URL.Path, "/")]
	var tried []string
	for i := range maxTries {
		if len(tried) == roundTries {
			// Everybody is busy: let some slots come free, longer each time.
			pause(ctx, pollInterval<<(i/roundTries))
			tried = nil
		}
		choice, ok := l.acquire(ctx, mustardsaddle.Need{Exclude: tried, Zone: d.cfg.zone})
		if !ok {
			break
		}
		if d.attempt(ctx, w, r, l, choice.Server) {
			return
		}
		tried = append(tried, choice.Server.Name)
	}
	w.Header().Set("Mustardsaddle-Outcome", "NotRun")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attempt sends the call to a server, and returns false if it may go on to the
// next one.
func (d *driver) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, l *lane, s mustardsaddle.Server) bool {
	out := r.Clone(ctx)
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", s.Address, ""
	start := time.Now()
	resp, err := d.transport.RoundTrip(out)
	now := time.Now()
	result := mustardsaddle.Result{Server: s.Name, Latency: now.Sub(start), Canceled: r.Context().Err() != nil}
	if err != nil {
		result.Failed = true
		l.finish(now, result)
		if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
			return false
		}
		w.Header().Set("Mustardsaddle-Outcome", "Unknown")
		w.WriteHeader(http.StatusBadGateway)
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	l.observe(now, s.Name, resp.Header.Get(report.Header))
	result.Shed = resp.Header.Get(server.NotRunHeader) != ""
	result.Failed = resp.StatusCode >= http.StatusInternalServerError && !result.Shed
	result.Outcome = mustardsaddle.Ran
	if result.Shed {
		result.Outcome = mustardsaddle.NotRun
		l.finish(now, result)
		return !d.refuse(w, resp)
	}
	w.WriteHeader(resp.StatusCode)
	_, err = io.Copy(w, resp.Body)
	result.Failed = result.Failed || err != nil
	l.finish(time.Now(), result)
	return true
}

// refuse answers a shed call as not run, unless the next server may be tried.
func (d *driver) refuse(w http.ResponseWriter, resp *http.Response) bool {
	_, _ = io.Copy(io.Discard, resp.Body)
	if d.cfg.candidate.next {
		return true
	}
	w.Header().Set("Mustardsaddle-Outcome", "NotRun")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// acquire waits in order of arrival until a server may take the attempt.
func (l *lane) acquire(ctx context.Context, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 || len(need.Exclude) > 0 {
		if c, ok := l.chooser.Choose(time.Now(), l.rng, need); ok {
			return c, true
		}
	}
	wake := make(chan struct{}, 1)
	l.waiting = append(l.waiting, wake)
	defer l.leave(wake)
	for {
		l.mu.Unlock()
		ended := await(ctx, wake)
		l.mu.Lock()
		if ended {
			return mustardsaddle.Choice{}, false
		}
		if l.waiting[0] != wake {
			continue
		}
		if c, ok := l.chooser.Choose(time.Now(), l.rng, need); ok {
			return c, true
		}
	}
}

// await waits for a signal or a while, and returns true if the context ended.
func await(ctx context.Context, wake <-chan struct{}) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-wake:
	case <-timer.C:
	}
	return false
}

// leave takes a call out of the queue and wakes the next. The caller holds mu.
func (l *lane) leave(wake chan struct{}) {
	i := slices.Index(l.waiting, wake)
	l.waiting = slices.Delete(l.waiting, i, i+1)
	l.wake()
}

// wake wakes the first waiting call. The caller holds mu.
func (l *lane) wake() {
	if len(l.waiting) == 0 {
		return
	}
	select {
	case l.waiting[0] <- struct{}{}:
	default:
	}
}

func (l *lane) finish(now time.Time, r mustardsaddle.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooser.Finish(now, r)
	l.wake()
}

func (l *lane) observe(now time.Time, name, header string) {
	rep, err := report.Parse(now, header)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooser.Observe(now, name, rep)
}

// probe asks servers for their load inside the budget until the context ends.
func (d *driver) probe(ctx context.Context) {
	defer close(d.ended)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	asked := make(chan struct{}, maxIdle)
	defer func() {
		for range cap(asked) {
			asked <- struct{}{}
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l := d.lanes[d.cfg.services[i%len(d.cfg.services)].name]
		now := time.Now()
		l.mu.Lock()
		s, ok := l.chooser.Probe(now, l.rng)
		l.mu.Unlock()
		if !ok || !d.budget.TakeServer(now, s.Name, 1, report.ProbeBytes) {
			continue
		}
		asked <- struct{}{}
		go func() {
			defer func() { <-asked }()
			d.ask(ctx, l, s)
		}()
	}
}

// ask sends one probe.
func (d *driver) ask(ctx context.Context, l *lane, s mustardsaddle.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: s.Address, Path: "/load"}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return
	}
	resp, err := d.transport.RoundTrip(r)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	l.observe(time.Now(), s.Name, resp.Header.Get(report.Header))
}
