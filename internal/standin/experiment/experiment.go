// Package experiment compares load balancing policies in the simulation of package
// model: every policy runs in the same load patterns with the same seeds. A Report can be
// printed as a table, encoded as JSON, and plotted.
//
// # Usage
//
//	report, err := experiment.Run(ctx, experiment.Config{Patterns: model.Patterns(), Policies: model.Policies(), Seeds: 5})
//	fmt.Print(report.Text())
//	err = report.Plot(w, "Surge")
package experiment

import (
	"context"
	"runtime"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

// Config configures a comparison.
type Config struct {
	// Patterns and Policies are compared in all combinations.
	Patterns []model.Pattern
	Policies []model.Policy
	// FirstSeed is the seed of the first run of each combination, and Seeds the number
	// of runs, with consecutive seeds; it must be at least 1.
	FirstSeed uint64
	Seeds     int
	// Parallel is the number of concurrent runs; 0 means half of the processors.
	Parallel int
}

// Row holds the results of a policy in a pattern, as means over the seeds.
type Row struct {
	Pattern string
	Policy  string
	// Worth is the overall score, as in model.Result, and WorthLow and WorthHigh its
	// minimum and maximum over the seeds.
	Worth     float64
	WorthLow  float64
	WorthHigh float64
	// Credit is the value share of the whole run, Worst that of the worst windows, and
	// Served the share of requests that were served at all.
	Credit float64
	Worst  float64
	Served float64
	// P50 and P99 are quantiles of the latency of served requests, measured from the
	// arrival of the request.
	P50 time.Duration
	P99 time.Duration
	// Attempts and Questions are the numbers of attempts and load queries per request.
	Attempts  float64
	Questions float64
	// Crossings and QuestionCrossings are those of them that went to another zone.
	Crossings         float64
	QuestionCrossings float64
	// Windows are the value shares of the time windows of the run.
	Windows []float64
}

// Report is the result of a comparison.
type Report struct {
	// FirstSeed and Seeds are those of the Config.
	FirstSeed uint64
	Seeds     int
	Rows      []Row
}

// task is a pending run and the destination of its result.
type task struct {
	cfg    model.Config
	result **model.Result
}

// Run runs the comparison. It fails only if the context ends, with the error of the context.
func Run(ctx context.Context, cfg Config) (Report, error) {
	report := Report{FirstSeed: cfg.FirstSeed, Seeds: cfg.Seeds}
	var tasks []task
	var results [][]*model.Result
	for _, pattern := range cfg.Patterns {
		for _, policy := range cfg.Policies {
			runs := make([]*model.Result, cfg.Seeds)
			for i := range runs {
				seed := cfg.FirstSeed + uint64(i)
				tasks = append(tasks, task{cfg: model.Config{Pattern: pattern, Policy: policy, Seed: seed}, result: &runs[i]})
			}
			results = append(results, runs)
		}
	}
	if err := runAll(ctx, tasks, cfg.Parallel); err != nil {
		return Report{}, err
	}
	for _, runs := range results {
		report.Rows = append(report.Rows, newRow(runs))
	}
	return report, nil
}

// runAll executes all tasks with the given number of workers.
func runAll(ctx context.Context, tasks []task, parallel int) error {
	if parallel <= 0 {
		parallel = max(runtime.NumCPU()/2, 1)
	}
	queue := make(chan task, len(tasks))
	for _, t := range tasks {
		queue <- t
	}
	close(queue)
	done := make(chan struct{})
	for range parallel {
		go worker(ctx, queue, done)
	}
	for range parallel {
		<-done
	}
	return ctx.Err()
}

// worker executes tasks until the queue is empty or the context ends, then signals done.
func worker(ctx context.Context, queue <-chan task, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for t := range queue {
		if ctx.Err() != nil {
			return
		}
		*t.result = model.Run(t.cfg)
	}
}

// newRow returns the means over the runs of one pattern with one policy.
func newRow(runs []*model.Result) Row {
	row := Row{Pattern: runs[0].Pattern, Policy: runs[0].Policy, WorthLow: 1, Windows: make([]float64, len(runs[0].Windows()))}
	n := float64(len(runs))
	var p50, p99 time.Duration
	for _, r := range runs {
		worth, total := r.Worth(), float64(max(r.Total(), 1))
		row.Worth += worth / n
		row.WorthLow = min(row.WorthLow, worth)
		row.WorthHigh = max(row.WorthHigh, worth)
		row.Credit += r.Credit() / n
		row.Worst += r.Worst() / n
		row.Served += r.ServedShare() / n
		row.Attempts += float64(r.Attempts) / total / n
		row.Questions += float64(r.Questions) / total / n
		row.Crossings += float64(r.Crossings) / total / n
		row.QuestionCrossings += float64(r.QuestionCrossings) / total / n
		p50 += r.Quantile(50)
		p99 += r.Quantile(99)
		for i, share := range r.Windows() {
			row.Windows[i] += share / n
		}
	}
	row.P50, row.P99 = p50/time.Duration(len(runs)), p99/time.Duration(len(runs))
	return row
}
