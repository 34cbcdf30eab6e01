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
	// callTimeout is the default timeout of a call in a gateway.
	callTimeout = 2 * time.Second
	// The agreed limits on the load probes of one gateway.
	probesPerSecond     = 20
	probeBytesPerSecond = 16 << 10
)

// handlerConfig configures a gatewayHandler.
type handlerConfig struct {
	name      string
	zone      string
	candidate candidate
	services  []service
	fleet     []mustardsaddle.VM
	timeout   time.Duration
	seed      uint64
}

// gatewayHandler holds a gateway that chooses servers with the policy of a candidate, and
// the prober that measures the load of servers for it.
type gatewayHandler struct {
	cfg         handlerConfig
	gateway     *gateway.Gateway
	probeBudget *report.Budget
	cancel      context.CancelFunc
	proberDone  chan struct{}
}

// newGatewayHandler returns a gatewayHandler with routing rules, but without servers, and
// starts its prober.
func newGatewayHandler(ctx context.Context, cfg handlerConfig) (*gatewayHandler, error) {
	rules, err := newRules(cfg.services)
	if err != nil {
		return nil, err
	}
	h := &gatewayHandler{cfg: cfg, proberDone: make(chan struct{})}
	services := make(map[string]gateway.ServiceConfig)
	for _, svc := range cfg.services {
		services[svc.name] = gateway.ServiceConfig{NotRunStatus: http.StatusServiceUnavailable, NotRunHeader: server.NotRunHeader}
	}
	h.gateway = gateway.New(gateway.Config{
		Name: cfg.name, Deadline: cfg.timeout, Services: services, Seed: cfg.seed,
		Admission: admission.Options{Zone: cfg.zone, NewChooser: h.newChooser, RetryShare: cfg.candidate.retryShare()},
		// Log lines are encoded and discarded, so that the measurements include the
		// cost of logging.
		Logger: zerolog.New(io.Discard).With().Timestamp().Logger(),
	})
	h.gateway.SetRules(rules)
	h.gateway.SetFleet(time.Time{}, cfg.fleet) // the fleet is constant during a run
	h.probeBudget = report.NewBudget(report.BudgetConfig{MessagesPerSecond: probesPerSecond, BytesPerSecond: probeBytesPerSecond})
	ctx, h.cancel = context.WithCancel(ctx)
	go admission.NewProber(admission.ProberConfig{Controllers: h.gateway.Controllers(), Budget: h.probeBudget}).Run(ctx, h.proberDone)
	return h, nil
}

// newChooser returns the chooser of a service, with the candidate's policy.
func (h *gatewayHandler) newChooser(string) mustardsaddle.Chooser {
	return bench.New(h.cfg.candidate.cfg)
}

// close stops the prober and closes the gateway.
func (h *gatewayHandler) close() {
	h.cancel()
	<-h.proberDone
	h.gateway.Close()
}

// newRules returns a routing table that maps the path /NAME to each service NAME.
func newRules(services []service) (*rule.Table, error) {
	var b strings.Builder
	b.WriteString("# Generation 1\n")
	for _, svc := range services {
		fmt.Fprintf(&b, "Path=/%s Service=%s # Trial: measured calls\n", svc.name, svc.name)
	}
	file, problems := rule.Parse(b.String())
	if len(problems) > 0 {
		return nil, code.Errorf(problems[0].Code, "routing rules of the trial: %s", problems[0].Text)
	}
	return rule.Compile(file), nil
}
