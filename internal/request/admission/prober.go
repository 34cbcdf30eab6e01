package admission

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// probeRequestBytes and probeResponseBytes are the expected sizes of the request and
	// the response of a probe or load query, including TCP and IP headers.
	probeRequestBytes  = 300
	probeResponseBytes = 500
	// maxProbesInFlight is the maximum number of probes in flight.
	maxProbesInFlight = 64
	// defaultProbeTimeout is the default timeout of a probe.
	defaultProbeTimeout = 500 * time.Millisecond
	// defaultProbeInterval is the default time between rounds of probes.
	defaultProbeInterval = 50 * time.Millisecond
)

// ProberConfig configures a Prober. A zero duration means its default.
type ProberConfig struct {
	// Controllers holds the services whose servers are probed.
	Controllers *Controllers
	// Budget limits the probes.
	Budget Budget
	// Interval is the time between rounds. Each round sends at most one probe per
	// service.
	Interval time.Duration
	// Timeout is the timeout of a probe.
	Timeout time.Duration
}

// Prober periodically requests load reports from servers, within a budget.
type Prober struct {
	cfg ProberConfig
	// reserved is true if the budget for the next probe has been taken but no server has
	// needed that probe yet.
	reserved bool
	// inFlight is the number of probes in flight.
	inFlight int
}

// NewProber returns a Prober that shares the transport of load queries.
func NewProber(cfg ProberConfig) *Prober {
	cfg.Interval = cmp.Or(cfg.Interval, defaultProbeInterval)
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultProbeTimeout)
	return &Prober{cfg: cfg}
}

// Run sends probes until the context is done, waits for those in flight and closes
// done.
func (p *Prober) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := make(chan struct{}, maxProbesInFlight)
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; p.inFlight > 0; p.inFlight-- {
				<-ended
			}
			return
		case <-ended:
			p.inFlight--
		case <-ticker.C:
			p.startRound(ctx, ended)
		}
	}
}

// startRound starts one probe per service while the budget lasts. It does not wait for
// responses, so an unresponsive server does not delay the probes of others.
func (p *Prober) startRound(ctx context.Context, ended chan<- struct{}) {
	for _, c := range p.cfg.Controllers.all() {
		now := time.Now()
		p.reserved = p.reserved || p.cfg.Budget.Allow(now, 1, probeRequestBytes+probeResponseBytes)
		if !p.reserved || p.inFlight >= maxProbesInFlight {
			return
		}
		server, ok := c.probe(now)
		if !ok {
			continue
		}
		p.reserved = false
		p.inFlight++
		go func() {
			p.probe(ctx, c, server)
			ended <- struct{}{}
		}()
	}
}

// probe requests a load report from one server.
func (p *Prober) probe(ctx context.Context, c *Controller, server mustardsaddle.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+p.cfg.Controllers.cfg.ProbePath, http.NoBody)
	if err != nil {
		return
	}
	sentAt := time.Now()
	var dial dialTrace
	h, status, err := p.cfg.Controllers.fetchHeader(r.WithContext(dial.trace(ctx)))
	if err != nil {
		c.RecordFailure(time.Now(), dial.failure(server.Name, err, sentAt, p.cfg.Timeout))
		return
	}
	c.RecordReply(time.Now(), server.Name)
	c.ObserveResponse(time.Now(), Response{Server: server, Header: h, Status: status, SentAt: sentAt, LoadQuery: true})
}
