package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	// callTimeout bounds a call in a gateway by default.
	callTimeout = 2 * time.Second
	// The agreed cost of measuring of one gateway.
	probesPerSecond     = 20
	probeBytesPerSecond = 16 << 10
)

// frontConfig configures a front.
type frontConfig struct {
	name      string
	zone      string
	candidate candidate
	services  []service
	fleet     []mustardsaddle.VM
	timeout   time.Duration
	seed      uint64
}

// front is a gateway of the product with the chooser of a candidate, and with
// its prober.
type front struct {
	cfg     frontConfig
	gateway *gateway.Gateway
	budget  *report.Budget
	cancel  context.CancelFunc
	ended   chan struct{}
}

// newFront returns a gateway that has its rules, but no servers.
func newFront(ctx context.Context, cfg frontConfig) (*front, error) {
	rules, err := rulesOf(cfg.services)
	if err != nil {
		return nil, err
	}
	f := &front{cfg: cfg, ended: make(chan struct{})}
	declared := make(map[string]gateway.Service)
	for _, svc := range cfg.services {
		declared[svc.name] = gateway.Service{NotRunStatus: http.StatusServiceUnavailable, NotRunHeader: server.NotRunHeader}
	}
	f.gateway = gateway.New(gateway.Config{
		Name: cfg.name, Deadline: cfg.timeout, Services: declared, Seed: cfg.seed,
		Admission: admission.Options{Zone: cfg.zone, NewChooser: f.newChooser, RetryShare: cfg.candidate.retryShare()},
		// Log lines are written, so that their cost is in the figures.
		Logger: zerolog.New(io.Discard).With().Timestamp().Logger(),
	})
	f.gateway.SetRules(rules)
	f.gateway.SetFleet(time.Time{}, cfg.fleet) // it never changes in a run
	f.budget = report.NewBudget(report.BudgetConfig{MessagesPerSecond: probesPerSecond, BytesPerSecond: probeBytesPerSecond})
	ctx, f.cancel = context.WithCancel(ctx)
	go admission.NewProber(admission.ProberConfig{Lanes: f.gateway.Lanes(), Budget: f.budget}).Run(ctx, f.ended)
	return f, nil
}

// newChooser returns the chooser of a service.
func (f *front) newChooser(string) mustardsaddle.Chooser {
	return bench.New(f.cfg.candidate.cfg)
}

// close ends the probes.
func (f *front) close() {
	f.cancel()
	<-f.ended
	f.gateway.Close()
}

// rulesOf returns rules that send /Booking to the service Booking, and so on.
func rulesOf(services []service) (*rule.Table, error) {
	var b strings.Builder
	b.WriteString("# Generation 1\n")
	for _, svc := range services {
		fmt.Fprintf(&b, "Path=/%s Service=%s # Trial: measured calls\n", svc.name, svc.name)
	}
	file, problems := rule.Parse(b.String())
	if len(problems) > 0 {
		return nil, code.Errorf(problems[0].Code, "trial rules: %s", problems[0].Text)
	}
	return rule.Compile(file), nil
}
