package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/standin/load"
)

const (
	// ruleChangeAt and stopAt are points in the run, as fractions of its duration.
	ruleChangeAt = 0.2
	stopAt       = 0.4
	// smallUtilization is the offered load relative to the capacity of all slots.
	smallUtilization = 0.5
)

// SmallSystemConfig configures RunSmallSystem. Zero values select the defaults.
type SmallSystemConfig struct {
	// Duration is the time during which calls arrive.
	Duration time.Duration
	// Seed seeds the random generators of the load.
	Seed uint64
	// Logger receives the log events of the gateways. It may be disabled.
	Logger zerolog.Logger
	// Progress, if set, receives a line for each step of the run.
	Progress io.Writer
}

// SmallSystemReport is the result of RunSmallSystem.
type SmallSystemReport struct {
	// Load holds the measurements of the load generator.
	Load load.Result
	// Runs is the number of executions that the servers counted, and Repeated the
	// number of attempts that they executed more than once.
	Runs, Repeated int64
	// Probes is the number of load probes and load queries per second that the servers
	// answered, and Agreed the limit that was agreed for all gateways together.
	Probes, Agreed float64
	// InForce is the time from the submission of a routing rule until every gateway
	// applied it.
	InForce time.Duration
	// Stop is the time that the graceful stop of one gateway took, and Cut the number
	// of calls without a complete response in the whole run.
	Stop time.Duration
	Cut  int64
}

// Text returns the report as text.
func (r SmallSystemReport) Text() string {
	var b strings.Builder
	b.WriteString(r.Load.Text())
	fmt.Fprintf(&b, "\nThe servers counted %d executions; %d attempts ran more than once.\n", r.Runs, r.Repeated)
	fmt.Fprintf(&b, "Load probes and queries: %.1f per second, with an agreed limit of %.0f.\n", r.Probes, r.Agreed)
	fmt.Fprintf(&b, "Every gateway applied the rule change within %.2f s.\n", r.InForce.Seconds())
	fmt.Fprintf(&b, "The graceful stop of one gateway took %.1f s. Calls cut: %d.\n", r.Stop.Seconds(), r.Cut)
	return b.String()
}

// RunSmallSystem runs a whole small system on the loopback interface: the platform,
// endpoint servers, three gateways and a load generator. Under load, it submits a rule
// change to the platform's object store and gracefully stops one gateway.
func RunSmallSystem(ctx context.Context, cfg SmallSystemConfig) (SmallSystemReport, error) {
	if cfg.Duration <= 0 {
		cfg.Duration = 10 * time.Second
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+startTimeout+stopTimeout)
	defer cancel()
	s, err := newSmallSystem(ctx, cfg)
	if err != nil {
		return SmallSystemReport{}, err
	}
	report, err := s.run(ctx)
	return report, errors.Join(err, s.close())
}

// run changes a routing rule and stops a gateway while it generates load, and returns
// the report.
func (s *smallSystem) run(ctx context.Context) (SmallSystemReport, error) {
	probesBefore, begin := s.probeCount(), time.Now()
	pollCtx, stopPolling := context.WithCancel(ctx)
	pollingDone := make(chan struct{})
	go s.pollReadiness(pollCtx, pollingDone)
	loadErr := make(chan error, 1)
	var r SmallSystemReport
	go func() {
		var err error
		r.Load, err = load.Run(ctx, s.loadConfig())
		loadErr <- err
	}()
	changeTime, err := s.changeRule(ctx, begin)
	stopTime, stopErr := s.stopGateway(ctx, begin)
	err = errors.Join(err, stopErr, <-loadErr)
	stopPolling()
	<-pollingDone
	r.InForce, r.Stop = changeTime, stopTime
	r.Probes = float64(s.probeCount()-probesBefore) / time.Since(begin).Seconds()
	r.Agreed = smallGateways * s.gateways[0].settings.Measuring.MessagesPerSecond
	r.Cut = r.Load.All.Ends[load.Broken.String()]
	s.countExecutions(&r)
	return r, err
}

// loadConfig returns the configuration of the load generator.
func (s *smallSystem) loadConfig() load.Config {
	cfg := load.Config{
		Streams:  []load.Stream{{Service: "Booking", Path: initialPath, Share: 1}},
		Rate:     smallUtilization * smallServers * slotsPerServer / smallWork.Seconds(),
		Duration: s.cfg.Duration,
		Work:     smallWork,
		Delay:    time.Millisecond,
		Seed:     s.cfg.Seed,
		Live:     s.isReady,
	}
	for _, g := range s.gateways {
		cfg.Targets = append(cfg.Targets, g.callURL(""))
	}
	return cfg
}

// changeRule submits a new routing rule at its time, waits until every gateway applies
// it, and returns how long that took.
func (s *smallSystem) changeRule(ctx context.Context, begin time.Time) (time.Duration, error) {
	if err := s.waitUntil(ctx, begin, ruleChangeAt); err != nil {
		return 0, err
	}
	s.logStep("Submitting a rule change to the platform's object store.")
	started := time.Now()
	s.platform.Put(submittedKey, []byte("# Generation 1\n"+initialRule+addedRule), -1)
	for _, g := range s.gateways {
		if err := g.waitForPath(ctx, addedPath); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

// stopGateway gracefully stops the last gateway at its time, and returns how long that
// took.
func (s *smallSystem) stopGateway(ctx context.Context, begin time.Time) (time.Duration, error) {
	if err := s.waitUntil(ctx, begin, stopAt); err != nil {
		return 0, err
	}
	g := s.gateways[len(s.gateways)-1]
	s.logStep("Stopping %s gracefully.", g.settings.Gateway.Name)
	started := time.Now()
	err := g.stop()
	return time.Since(started), err
}

// waitUntil waits until a point in the run, given as a fraction of its duration.
func (s *smallSystem) waitUntil(ctx context.Context, begin time.Time, fraction float64) error {
	at := begin.Add(time.Duration(fraction * float64(s.cfg.Duration)))
	return sleep(ctx, time.Until(at))
}

// countExecutions adds the servers' execution counts to the report.
func (s *smallSystem) countExecutions(r *SmallSystemReport) {
	for _, e := range s.endpoints {
		count := e.server.Count()
		r.Runs += count.Total
		for _, n := range count.Runs {
			if n > 1 {
				r.Repeated++
			}
		}
	}
}

// probeCount returns the number of load probes and load queries that the servers have
// answered so far.
func (s *smallSystem) probeCount() int64 {
	var n int64
	for _, e := range s.endpoints {
		n += e.server.Count().Probes
	}
	return n
}

// close stops every component that still runs.
func (s *smallSystem) close() error {
	var errs []error
	for _, g := range s.gateways {
		errs = append(errs, g.stop())
	}
	for _, e := range s.endpoints {
		errs = append(errs, e.close())
	}
	errs = append(errs, s.platformServer.Close())
	if err := <-s.platformErr; !errors.Is(err, http.ErrServerClosed) {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// logStep writes a progress line.
func (s *smallSystem) logStep(format string, args ...any) {
	_, _ = fmt.Fprintf(s.cfg.Progress, format+"\n", args...)
}

// sleep waits for a duration, or until the context ends, whose error it then returns.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
