// Package trial runs end-to-end benchmarks of whole small systems in one process over
// loopback sockets: stand-in endpoint servers, gateways and an open-loop load generator.
// Compare compares load balancing policies, the candidates, in scenarios of load and
// faults. RunSmallSystem tests a rule change and a graceful stop under load.
//
// A system has the size and the delays of a user's network: 15 gateways in three
// availability zones, two services, and two slots per server. The servers add the
// one-way delay between availability zones, the load generator that between callers and
// gateways. Within a repetition, all candidates get the same calls with the same service
// times; the order in which the candidates run changes with the repetition.
//
// The CentralQueue candidate is the reference, the best known way to place calls: a
// single gateway that knows the exact state of every slot and queues calls until a slot
// is free. The ratio of another candidate to it shows how much that candidate could be
// improved.
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
	// setupTime is the approximate time to start and stop a system.
	setupTime = 400 * time.Millisecond
	// warmup is the time at the start of a run that the measurements leave out.
	warmup = 500 * time.Millisecond
)

// CompareConfig configures Compare. Zero values select the defaults.
type CompareConfig struct {
	// Scenarios are the names of the scenarios; none or "all" selects all of them.
	Scenarios []string
	// Candidates are the names of the candidates; none or "all" selects all of them.
	Candidates []string
	// Network selects the size and the delays of the systems.
	Network Network
	// Duration is the time during which calls arrive in one run, warmup included.
	Duration time.Duration
	// Repetitions is the number of runs of each scenario with each candidate.
	Repetitions int
	// Parallel is the number of systems that run concurrently.
	Parallel int
	// Limit limits the time of the whole comparison. Fewer repetitions are run if
	// necessary.
	Limit time.Duration
	// Work is the mean service time of a call.
	Work time.Duration
	// Queue is the number of calls that may wait at a server while its slots are taken.
	Queue int
	// Timeout is the timeout of a call in a gateway; 0 means 2 s. On a machine under
	// other load, calls may exceed it that would succeed on an idle machine.
	Timeout time.Duration
	// Seed seeds the random generators of arrivals, targets and service times.
	Seed uint64
	// Progress, if set, is called after each successful run.
	Progress func(Run)
}

// withDefaults returns c with zero values replaced by the defaults.
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

// Run is the result of one run of a scenario with a candidate.
type Run struct {
	Scenario   string
	Candidate  string
	Repetition int
	Figures    Figures
}

// runPlan is a run to execute.
type runPlan struct {
	scenario   scenario
	candidate  candidate
	repetition int
}

// completedRun is a run that was executed, and its error if it failed.
type completedRun struct {
	plan    runPlan
	figures Figures
	err     error
}

// Compare runs each scenario with each candidate. If the context ends or the time limit
// is reached, the report contains the runs completed so far, which are then fewer than
// Report.Planned.
func Compare(ctx context.Context, cfg CompareConfig) (Report, error) {
	cfg = cfg.withDefaults()
	scenarios, err := scenariosByName(cfg.Scenarios)
	if err != nil {
		return Report{}, err
	}
	candidates, err := candidatesByName(cfg.Candidates)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Limit)
	defer cancel()
	reps := affordableRepetitions(cfg, len(scenarios)*len(candidates))
	plans := planRuns(scenarios, candidates, reps)
	report := newReport(cfg, reps, len(plans))
	var firstErr error
	for c := range runAll(ctx, cfg, plans) {
		if c.err != nil && firstErr == nil && ctx.Err() == nil {
			firstErr = c.err
		}
		if c.err != nil {
			continue
		}
		run := Run{Scenario: c.plan.scenario.name, Candidate: c.plan.candidate.name, Repetition: c.plan.repetition, Figures: c.figures}
		report.Runs = append(report.Runs, run)
		if cfg.Progress != nil {
			cfg.Progress(run)
		}
	}
	report.addRows(scenarios, candidates)
	return report, firstErr
}

// affordableRepetitions returns the number of repetitions that fit the time limit, at
// least one. A repetition consists of the given number of runs.
func affordableRepetitions(cfg CompareConfig, runs int) int {
	repetitionTime := time.Duration(runs) * (cfg.Duration + setupTime) / time.Duration(cfg.Parallel)
	return max(1, min(cfg.Repetitions, int(cfg.Limit/max(1, repetitionTime))))
}

// planRuns returns the runs in order of execution. Within a repetition, the runs of a
// scenario with all candidates follow one another, starting with a different candidate
// in each repetition.
func planRuns(scenarios []scenario, candidates []candidate, repetitions int) []runPlan {
	var plans []runPlan
	for rep := range repetitions {
		for _, s := range scenarios {
			for i := range candidates {
				plans = append(plans, runPlan{scenario: s, candidate: candidates[(i+rep)%len(candidates)], repetition: rep})
			}
		}
	}
	return plans
}

// runAll executes the runs with cfg.Parallel workers and returns a channel of completed
// runs, which is closed after the last one. It starts no more runs once the context ends.
func runAll(ctx context.Context, cfg CompareConfig, plans []runPlan) <-chan completedRun {
	pending, completed := make(chan runPlan), make(chan completedRun)
	workerDone := make(chan struct{})
	for range cfg.Parallel {
		go func() {
			for plan := range pending {
				figures, err := runOne(ctx, cfg, plan)
				completed <- completedRun{plan: plan, figures: figures, err: err}
			}
			workerDone <- struct{}{}
		}()
	}
	go func() {
		defer close(completed)
		for _, plan := range plans {
			if ctx.Err() != nil {
				break
			}
			pending <- plan
		}
		close(pending)
		for range cfg.Parallel {
			<-workerDone
		}
	}()
	return completed
}

// joinNames returns the names of all items, separated by commas.
func joinNames[T any](items []T, nameOf func(T) string) string {
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = nameOf(item)
	}
	return strings.Join(names, ", ")
}

// selectByName returns the items with the given names, compared without regard to case,
// or all items if names is empty or contains "all". kind is the kind of item for errors.
func selectByName[T any](kind string, items []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 || slices.Contains(names, "all") {
		return items, nil
	}
	var matches []T
	for _, name := range names {
		i := slices.IndexFunc(items, func(item T) bool { return strings.EqualFold(nameOf(item), name) })
		if i < 0 {
			return nil, code.Errorf(code.SettingsBadValue, "compare: got %s %q, want one of %s", kind, name, joinNames(items, nameOf))
		}
		matches = append(matches, items[i])
	}
	return matches, nil
}
