// Package trial runs whole small systems in one process over loopback sockets:
// stand-in endpoint servers, gateways and open-loop callers. Compare sets the
// policies of choice against each other in scenarios of load and faults.
//
// A system has the sizes and the delays of one of the users' networks: 15
// gateways in three availability zones, two services, two slots a server. A
// one-way delay between availability zones is added in front of each server,
// and one between callers and gateways by the callers. All candidates of one
// repetition get the same calls with the same working times, in an order that
// changes with the repetition.
//
// The CentralQueue candidate is the best known placement: one gateway that
// knows every slot exactly and holds calls back until one is free. The ratio of
// the other candidates to it shows what is left to win.
//
// # Usage
//
//	report, err := trial.Compare(ctx, trial.CompareConfig{Scenarios: []string{"Steady85"}})
//	fmt.Print(report.Text())
package trial

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// setup is about how long a system takes to start and stop.
	setup = 400 * time.Millisecond
	// warmup is the time at the start of a run that is not recorded.
	warmup = 500 * time.Millisecond
)

// CompareConfig configures Compare. Zero values mean the defaults.
type CompareConfig struct {
	// Scenarios are names of scenarios; none or "all" means all.
	Scenarios []string
	// Candidates are names of candidates; none means all.
	Candidates []string
	// Network is the users' network whose sizes and delays apply.
	Network Network
	// Duration is how long calls arrive in one run.
	Duration time.Duration
	// Repetitions is how often each scenario is run with each candidate.
	Repetitions int
	// Parallel is how many systems run at a time.
	Parallel int
	// Limit bounds the whole comparison; fewer repetitions are made to fit.
	Limit time.Duration
	// Work is the mean working time of a call.
	Work time.Duration
	// Queue is how many calls wait at a server beyond its slots.
	Queue int
	// Timeout bounds a call in a gateway; 0 means 2 s. On a machine that is busy
	// with other things, calls pass it that a quiet machine answers.
	Timeout time.Duration
	// Seed seeds arrivals, targets and working times.
	Seed uint64
	// Progress, if set, is told each run that ended.
	Progress func(Run)
}

// withDefaults returns c with the defaults in place of zero values.
func (c CompareConfig) withDefaults() CompareConfig {
	if c.Duration <= warmup {
		c.Duration = 4 * time.Second
	}
	if c.Repetitions <= 0 {
		c.Repetitions = 3
	}
	if c.Parallel <= 0 {
		c.Parallel = max(1, runtime.NumCPU()/6)
	}
	if c.Limit <= 0 {
		c.Limit = 9 * time.Minute
	}
	if c.Work <= 0 {
		c.Work = 40 * time.Millisecond
	}
	if c.Queue <= 0 {
		c.Queue = 2
	}
	if c.Timeout <= 0 {
		c.Timeout = callTimeout
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	return c
}

// Run is one run of one candidate in one scenario.
type Run struct {
	Scenario   string
	Candidate  string
	Repetition int
	Figures    Figures
}

// job is a run that is to be made.
type job struct {
	scenario   scenario
	candidate  candidate
	repetition int
}

// done is a run that was made.
type done struct {
	job     job
	figures Figures
	err     error
}

// Compare runs each scenario with each candidate. When the context ends, or the
// limit is reached, the report holds the runs made so far and says so.
func Compare(ctx context.Context, cfg CompareConfig) (Report, error) {
	cfg = cfg.withDefaults()
	scenarios, err := scenariosOf(cfg.Scenarios)
	if err != nil {
		return Report{}, err
	}
	candidates, err := candidatesOf(cfg.Candidates)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Limit)
	defer cancel()
	reps := repetitions(cfg, len(scenarios)*len(candidates))
	jobs := plan(scenarios, candidates, reps)
	report := newReport(cfg, reps, len(jobs))
	var first error
	for d := range runAll(ctx, cfg, jobs) {
		if d.err != nil && first == nil && ctx.Err() == nil {
			first = d.err
		}
		if d.err != nil {
			continue
		}
		run := Run{Scenario: d.job.scenario.name, Candidate: d.job.candidate.name, Repetition: d.job.repetition, Figures: d.figures}
		report.Runs = append(report.Runs, run)
		if cfg.Progress != nil {
			cfg.Progress(run)
		}
	}
	report.finish(scenarios, candidates)
	return report, first
}

// repetitions returns how many repetitions fit the limit, and at least one.
func repetitions(cfg CompareConfig, runs int) int {
	one := time.Duration(runs) * (cfg.Duration + setup) / time.Duration(cfg.Parallel)
	return max(1, min(cfg.Repetitions, int(cfg.Limit/max(1, one))))
}

// plan orders the runs: the candidates of one repetition next to each other, in
// an order that changes with the repetition.
func plan(scenarios []scenario, candidates []candidate, repetitions int) []job {
	var jobs []job
	for rep := range repetitions {
		for _, s := range scenarios {
			for i := range candidates {
				jobs = append(jobs, job{scenario: s, candidate: candidates[(i+rep)%len(candidates)], repetition: rep})
			}
		}
	}
	return jobs
}

// runAll makes the runs and sends each as it ends; the channel is closed after
// the last.
func runAll(ctx context.Context, cfg CompareConfig, jobs []job) <-chan done {
	todo, ended := make(chan job), make(chan done)
	stopped := make(chan struct{})
	for range cfg.Parallel {
		go func() {
			for j := range todo {
				figures, err := runOne(ctx, cfg, j)
				ended <- done{job: j, figures: figures, err: err}
			}
			stopped <- struct{}{}
		}()
	}
	go func() {
		defer close(ended)
		for _, j := range jobs {
			if ctx.Err() != nil {
				break
			}
			todo <- j
		}
		close(todo)
		for range cfg.Parallel {
			<-stopped
		}
	}()
	return ended
}

// names joins the names of things for an error.
func names[T any](things []T, name func(T) string) string {
	all := make([]string, len(things))
	for i, t := range things {
		all[i] = name(t)
	}
	return strings.Join(all, ", ")
}

// selected returns the things with the wanted names, and all if none or "all"
// is wanted.
func selected[T any](what string, things []T, wanted []string, name func(T) string) ([]T, error) {
	if len(wanted) == 0 || slices.Contains(wanted, "all") {
		return things, nil
	}
	var out []T
	for _, w := range wanted {
		i := slices.IndexFunc(things, func(t T) bool { return strings.EqualFold(name(t), w) })
		if i < 0 {
			return nil, code.Errorf(code.SettingsBadValue, "compare: got %s %q, want one of %s", what, w, names(things, name))
		}
		out = append(out, things[i])
	}
	return out, nil
}
