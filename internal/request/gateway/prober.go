package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
)

const (
	// probeRequestBytes and probeAnswerBytes are what a probe is expected to send
	// and to bring, TCP and IP headers included.
	probeRequestBytes = 300
	probeAnswerBytes  = 500
	// defaultProbeInterval is the time between two rounds of probes.
	defaultProbeInterval = 50 * time.Millisecond
)

// Budget bounds the cost of measuring.
type Budget interface {
	// Take spends messages and bytes, or returns false and spends nothing.
	Take(now time.Time, messages, bytes int) bool
}

// ProberConfig configures a Prober. Zero values of times mean the default.
type ProberConfig struct {
	// Gateway is whose servers are probed.
	Gateway *Gateway
	// Budget pays for each probe.
	Budget Budget
	// Path is where servers answer probes.
	Path string
	// Interval is the time between two rounds, each of one probe a service.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
}

// Prober asks servers for load reports within a budget.
type Prober struct {
	cfg    ProberConfig
	client *http.Transport
}

// NewProber returns a prober that has its own connections.
func NewProber(cfg ProberConfig) *Prober {
	if cfg.Path == "" {
		cfg.Path = defaultLoadPath
	}
	setDefault(&cfg.Interval, defaultProbeInterval)
	setDefault(&cfg.Timeout, defaultProbeTimeout)
	client := newTransport(cfg.Gateway.cfg, true)
	client.MaxIdleConnsPerHost = 1
	return &Prober{cfg: cfg, client: client}
}

// Run probes until the context ends, then closes done.
func (p *Prober) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round(ctx)
		}
	}
}

// round probes one server of each service at the same time, as far as the budget
// goes, and waits for the answers.
func (p *Prober) round(ctx context.Context) {
	lanes := p.cfg.Gateway.allLanes()
	ended := make(chan struct{}, len(lanes))
	begun := 0
	for _, l := range lanes {
		now := time.Now()
		server, ok := l.probe(now)
		if !ok || !p.cfg.Budget.Take(now, 1, probeRequestBytes+probeAnswerBytes) {
			continue
		}
		begun++
		go func() {
			p.probe(ctx, l, server)
			ended <- struct{}{}
		}()
	}
	for range begun {
		<-ended
	}
}

// probe asks one server.
func (p *Prober) probe(ctx context.Context, l *lane, server mustardsaddle.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+p.cfg.Path, http.NoBody)
	if err != nil {
		return
	}
	resp, err := p.client.RoundTrip(r)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, probeAnswerBytes)
	_ = resp.Body.Close()
	now := time.Now()
	rep, err := report.Parse(now, resp.Header.Get(report.Header))
	if err != nil {
		return
	}
	l.observe(now, server.Name, rep)
}

// allLanes returns the lanes of all services.
func (g *Gateway) allLanes() []*lane {
	g.mu.RLock()
	defer g.mu.RUnlock()
	lanes := make([]*lane, 0, len(g.lanes))
	for _, l := range g.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}
