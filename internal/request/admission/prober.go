package admission

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// probeRequestBytes and probeAnswerBytes are what a probe is expected to send
	// and to bring, TCP and IP headers included.
	probeRequestBytes = 300
	probeAnswerBytes  = 500
	// maxOpenProbes bounds the probes without an answer.
	maxOpenProbes = 64
	// defaultProbeTimeout bounds one probe.
	defaultProbeTimeout = 500 * time.Millisecond
	// defaultProbeInterval is the time between two rounds of probes.
	defaultProbeInterval = 50 * time.Millisecond
)

// ProberConfig configures a Prober. Zero values of times mean the default.
type ProberConfig struct {
	// Lanes hold the servers that are probed.
	Lanes *Lanes
	// Budget pays for each probe.
	Budget Budget
	// Interval is the time between two rounds, each of one probe a service.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
}

// Prober asks servers for load reports within a budget.
type Prober struct {
	cfg ProberConfig
	// paid is true while a probe is paid for that no server was worth yet.
	paid bool
	// open is the number of probes without an answer.
	open int
}

// NewProber returns a prober that uses the connections of questions.
func NewProber(cfg ProberConfig) *Prober {
	cfg.Interval = cmp.Or(cfg.Interval, defaultProbeInterval)
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultProbeTimeout)
	return &Prober{cfg: cfg}
}

// Run probes until the context ends, then closes done.
func (p *Prober) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := make(chan struct{}, maxOpenProbes)
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; p.open > 0; p.open-- {
				<-ended
			}
			return
		case <-ended:
			p.open--
		case <-ticker.C:
			p.round(ctx, ended)
		}
	}
}

// round begins one probe of each service, as far as the budget goes. It does not
// wait for answers, so that a silent server holds up no other.
func (p *Prober) round(ctx context.Context, ended chan<- struct{}) {
	for _, l := range p.cfg.Lanes.all() {
		now := time.Now()
		p.paid = p.paid || p.cfg.Budget.Take(now, 1, probeRequestBytes+probeAnswerBytes)
		if !p.paid || p.open >= maxOpenProbes {
			return
		}
		server, ok := l.probe(now)
		if !ok {
			continue
		}
		p.paid = false
		p.open++
		go func() {
			p.probe(ctx, l, server)
			ended <- struct{}{}
		}()
	}
}

// probe asks one server.
func (p *Prober) probe(ctx context.Context, l *Lane, server mustardsaddle.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+p.cfg.Lanes.cfg.ProbePath, http.NoBody)
	if err != nil {
		return
	}
	h, err := answerHeader(p.cfg.Lanes.cfg.Transport, r)
	if err != nil {
		return
	}
	l.ObserveHeader(time.Now(), server.Name, h)
}
