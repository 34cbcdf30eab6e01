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
	// ruleChangeAt and stopAt are shares of the duration.
	ruleChangeAt = 0.2
	stopAt       = 0.4
	// smallLoad is the offered work as a share of all slots.
	smallLoad = 0.5
)

// SmallConfig configures Small. Zero values mean the defaults.
type SmallConfig struct {
	// Duration is how long calls arrive.
	Duration time.Duration
	// Seed seeds the calls.
	Seed uint64
	// Logger takes the gateways' log events; it may be disabled.
	Logger zerolog.Logger
	// Progress, if set, is told each step.
	Progress io.Writer
}

// SmallReport is what Small saw.
type SmallReport struct {
	// Load are the calls as their callers saw them.
	Load load.Result
	// Runs is the number of executions that the servers counted, and Repeated
	// the number of attempts that ran more than once.
	Runs, Repeated int64
	// Probes is the number of load probes a second that the servers answered,
	// and Agreed the budget of all gateways together.
	Probes, Agreed float64
	// InForce is the time from the submission of a rule until every gateway
	// followed it.
	InForce time.Duration
	// Stop is how long the graceful stop of one gateway took, and Cut the number
	// of calls without a whole answer in the whole run.
	Stop time.Duration
	Cut  int64
}

// Text returns the report for a reader.
func (r SmallReport) Text() string {
	var b strings.Builder
	b.WriteString(r.Load.Text())
	fmt.Fprintf(&b, "\nServers counted %d executions; %d attempts ran more than once.\n", r.Runs, r.Repeated)
	fmt.Fprintf(&b, "Cost of measuring: %.1f probes a second, %.0f agreed.\n", r.Probes, r.Agreed)
	fmt.Fprintf(&b, "The rule change was in force on every gateway after %.2f s.\n", r.InForce.Seconds())
	fmt.Fprintf(&b, "One gateway stopped gracefully in %.1f s. Calls cut: %d.\n", r.Stop.Seconds(), r.Cut)
	return b.String()
}

// Small runs a whole small system on the loopback interface: platform, servers,
// three gateways and load. Meanwhile a rule is changed through the platform's
// store, and one gateway is stopped gracefully.
func Small(ctx context.Context, cfg SmallConfig) (SmallReport, error) {
	if cfg.Duration <= 0 {
		cfg.Duration = 10 * time.Second
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+smallStart+smallStop)
	defer cancel()
	s, err := newSmall(ctx, cfg)
	if err != nil {
		return SmallReport{}, err
	}
	report, err := s.run(ctx)
	return report, errors.Join(err, s.close())
}

// run brings the load, the rule change and the stop.
func (s *small) run(ctx context.Context) (SmallReport, error) {
	probes, begin := s.probes(), time.Now()
	watching, stopWatching := context.WithCancel(ctx)
	watched := make(chan struct{})
	go s.balance(watching, watched)
	loaded := make(chan error, 1)
	var r SmallReport
	go func() {
		var err error
		r.Load, err = load.Run(ctx, s.load())
		loaded <- err
	}()
	changed, err := s.changeRule(ctx, begin)
	stopped, stopErr := s.stopOne(ctx, begin)
	err = errors.Join(err, stopErr, <-loaded)
	stopWatching()
	<-watched
	r.InForce, r.Stop = changed, stopped
	r.Probes = float64(s.probes()-probes) / time.Since(begin).Seconds()
	r.Agreed = smallGateways * s.gateways[0].settings.Measuring.MessagesPerSecond
	r.Cut = r.Load.All.Ends[load.Broken.String()]
	s.judge(&r)
	return r, err
}

// load returns the load of the small system.
func (s *small) load() load.Config {
	cfg := load.Config{
		Streams:  []load.Stream{{Service: "Booking", Path: pathOld, Share: 1}},
		Rate:     smallLoad * smallServers * slotsPerServer / smallWork.Seconds(),
		Duration: s.cfg.Duration,
		Work:     smallWork,
		Delay:    time.Millisecond,
		Seed:     s.cfg.Seed,
		Live:     s.live,
	}
	for _, m := range s.gateways {
		cfg.Targets = append(cfg.Targets, m.url(""))
	}
	return cfg
}

// changeRule submits a rule and waits until every gateway follows it.
func (s *small) changeRule(ctx context.Context, begin time.Time) (time.Duration, error) {
	if err := s.until(ctx, begin, ruleChangeAt); err != nil {
		return 0, err
	}
	s.tell("A rule change is submitted to the platform's store.")
	since := time.Now()
	s.platform.Put(submitted, []byte("# Generation 1\n"+ruleOld+ruleNew), -1)
	for _, m := range s.gateways {
		if err := m.await(ctx, pathNew); err != nil {
			return 0, err
		}
	}
	return time.Since(since), nil
}

// stopOne stops the last gateway gracefully.
func (s *small) stopOne(ctx context.Context, begin time.Time) (time.Duration, error) {
	if err := s.until(ctx, begin, stopAt); err != nil {
		return 0, err
	}
	m := s.gateways[len(s.gateways)-1]
	s.tell("%s is told to stop.", m.settings.Gateway.Name)
	since := time.Now()
	err := m.stop()
	return time.Since(since), err
}

// until waits for a share of the duration.
func (s *small) until(ctx context.Context, begin time.Time, share float64) error {
	at := begin.Add(time.Duration(share * float64(s.cfg.Duration)))
	return sleep(ctx, time.Until(at))
}

// judge takes the servers' counts into the report.
func (s *small) judge(r *SmallReport) {
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

// probes returns how many load probes the servers have answered.
func (s *small) probes() int64 {
	var n int64
	for _, e := range s.endpoints {
		n += e.server.Count().Probes
	}
	return n
}

// close ends everything that still runs.
func (s *small) close() error {
	var errs []error
	for _, m := range s.gateways {
		errs = append(errs, m.stop())
	}
	for _, e := range s.endpoints {
		errs = append(errs, e.close())
	}
	errs = append(errs, s.web.Close())
	if err := <-s.webEnded; !errors.Is(err, http.ErrServerClosed) {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// tell reports a step.
func (s *small) tell(format string, args ...any) {
	_, _ = fmt.Fprintf(s.cfg.Progress, format+"\n", args...)
}

// sleep waits for a while, or returns the error of the context.
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
