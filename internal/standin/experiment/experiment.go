// Package experiment compares policies side by side in the model of the served
// systems: every policy meets the same patterns with the same seeds. It writes the
// results as a table, as JSON, and as plots.
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
	// Patterns and Policies are compared, each of the ones with each of the others.
	Patterns []model.Pattern
	Policies []model.Policy
	// FirstSeed is the seed of the first run of each pair, and Seeds the number of
	// runs.
	FirstSeed uint64
	Seeds     int
	// Parallel is how many runs are made at a time; 0 means half of the processors.
	Parallel int
}

// Row is what a policy brought in a pattern, as the mean over the seeds.
type Row struct {
	Pattern string
	Policy  string
	// Worth is the weighted mean of the parts, and WorthLow and WorthHigh the least
	// and the greatest of a seed.
	Worth     float64
	WorthLow  float64
	WorthHigh float64
	// Credit is the share of all credit, Worst that of the worst windows, and Served
	// the share of requests that were served at all.
	Credit float64
	Worst  float64
	Served float64
	// P50 and P99 are quantiles of the latency of served requests from their first
	// try.
	P50 time.Duration
	P99 time.Duration
	// Attempts and Questions are counted for each request.
	Attempts  float64
	Questions float64
	// Windows are the shares of credit in the windows of the run.
	Windows []float64
}

// Report is the result of a comparison.
type Report struct {
	// FirstSeed and Seeds name the runs.
	FirstSeed uint64
	Seeds     int
	Rows      []Row
}

// task is a run that is to be made, and where its result goes.
type task struct {
	cfg    model.Config
	result **model.Result
}

// Run compares until the context ends, which is the only error.
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
		report.Rows = append(report.Rows, rowOf(runs))
	}
	return report, nil
}

// runAll makes all runs, some at a time.
func runAll(ctx context.Context, tasks []task, parallel int) error {
	if parallel <= 0 {
		parallel = max(runtime.NumCPU()/2, 1)
	}
	queue := make(chan task, len(tasks))
	for _, t := range tasks {
		queue <- t
	}
	close(queue)
	ended := make(chan struct{})
	for range parallel {
		go work(ctx, queue, ended)
	}
	for range parallel {
		<-ended
	}
	return ctx.Err()
}

// work makes runs until none is left or the context ends, then reports its end.
func work(ctx context.Context, queue <-chan task, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	for t := range queue {
		if ctx.Err() != nil {
			return
		}
		*t.result = model.Run(t.cfg)
	}
}

// rowOf returns the means over the runs of one pair.
func rowOf(runs []*model.Result) Row {
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
		p50 += r.Quantile(50)
		p99 += r.Quantile(99)
		for i, share := range r.Windows() {
			row.Windows[i] += share / n
		}
	}
	row.P50, row.P99 = p50/time.Duration(len(runs)), p99/time.Duration(len(runs))
	return row
}
