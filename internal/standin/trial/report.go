package trial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Figures are what one run measured.
type Figures struct {
	// Calls is the number of recorded calls.
	Calls int64
	// P50, P99 and P999 are latencies from the intended time, in milliseconds.
	P50, P99, P999 float64
	// Within99 is the time in milliseconds within which 99 of 100 of all calls
	// had run; 0 if fewer ran at all.
	Within99 float64
	// Goodput is the number of calls per second that ran.
	Goodput float64
	// Failed, NotRun, Unknown and Broken are shares of calls; Broken are those
	// that got no whole answer or were not made.
	Failed, NotRun, Unknown, Broken float64
	// Sheds is the number of refusals by servers per second.
	Sheds float64
	// Probes and ProbeBytes are the cost of measuring per second, over all
	// gateways.
	Probes, ProbeBytes float64
	// ProcessorMicros is the processor time of the whole process per recorded
	// call, in microseconds; 0 when several systems ran at a time.
	ProcessorMicros float64
}

// Spread is the median and the range over the repetitions.
type Spread struct {
	Median, Min, Max float64
}

// Row is one candidate in one scenario.
type Row struct {
	Scenario, Candidate string
	Repetitions         int
	P50, P99, P999      Spread
	// Within99 is 0 if fewer than 99 of 100 calls ran in any repetition.
	Within99 Spread
	// Ratio is the median Within99 relative to that of the central queue; 0 if
	// either is missing.
	Ratio float64
	// Median holds the medians of all figures.
	Median Figures
}

// Report is the outcome of a comparison.
type Report struct {
	// Network, Work, Duration, Seed and Parallel tell how the runs were made.
	Network  string
	Work     time.Duration
	Duration time.Duration
	Seed     uint64
	Parallel int
	// Repetitions is how many repetitions fitted the limit.
	Repetitions int
	// Planned is how many runs were planned; len(Runs) were made.
	Planned int
	// LoadBefore and LoadAfter are the machine's load averages.
	LoadBefore, LoadAfter string
	Rows                  []Row
	Runs                  []Run
}

func newReport(cfg CompareConfig, repetitions, planned int) Report {
	return Report{
		Network: cfg.Network.String(), Work: cfg.Work, Duration: cfg.Duration, Seed: cfg.Seed, Parallel: cfg.Parallel,
		Repetitions: repetitions, Planned: planned, LoadBefore: machineLoad(),
	}
}

// finish works out the rows from the runs.
func (r *Report) finish(scenarios []scenario, candidates []candidate) {
	r.LoadAfter = machineLoad()
	for _, s := range scenarios {
		best := 0.0
		for _, c := range candidates {
			row := r.row(s.name, c.name)
			if row.Repetitions == 0 {
				continue
			}
			if c.central {
				best = row.Within99.Median
			}
			if best > 0 {
				row.Ratio = row.Within99.Median / best
			}
			r.Rows = append(r.Rows, row)
		}
	}
}

func (r *Report) row(scenario, candidate string) Row {
	var runs []Figures
	for _, run := range r.Runs {
		if run.Scenario == scenario && run.Candidate == candidate {
			runs = append(runs, run.Figures)
		}
	}
	row := Row{Scenario: scenario, Candidate: candidate, Repetitions: len(runs)}
	if len(runs) == 0 {
		return row
	}
	of := func(get func(Figures) float64) Spread { return spreadOf(runs, get) }
	row.P50 = of(func(f Figures) float64 { return f.P50 })
	row.P99 = of(func(f Figures) float64 { return f.P99 })
	row.P999 = of(func(f Figures) float64 { return f.P999 })
	row.Within99 = of(func(f Figures) float64 { return f.Within99 })
	if row.Within99.Min == 0 {
		row.Within99 = Spread{}
	}
	row.Median = Figures{
		Within99:        row.Within99.Median,
		Calls:           int64(of(func(f Figures) float64 { return float64(f.Calls) }).Median),
		P50:             row.P50.Median,
		P99:             row.P99.Median,
		P999:            row.P999.Median,
		Goodput:         of(func(f Figures) float64 { return f.Goodput }).Median,
		Failed:          of(func(f Figures) float64 { return f.Failed }).Median,
		NotRun:          of(func(f Figures) float64 { return f.NotRun }).Median,
		Unknown:         of(func(f Figures) float64 { return f.Unknown }).Median,
		Broken:          of(func(f Figures) float64 { return f.Broken }).Median,
		Sheds:           of(func(f Figures) float64 { return f.Sheds }).Median,
		Probes:          of(func(f Figures) float64 { return f.Probes }).Median,
		ProbeBytes:      of(func(f Figures) float64 { return f.ProbeBytes }).Median,
		ProcessorMicros: of(func(f Figures) float64 { return f.ProcessorMicros }).Median,
	}
	return row
}

func spreadOf(runs []Figures, get func(Figures) float64) Spread {
	values := make([]float64, len(runs))
	for i, f := range runs {
		values[i] = get(f)
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}

// Text returns the report as a table: medians over the repetitions, with the
// range of the percentiles in brackets.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Network %s, work %v, %v a run, seed %d, %d repetitions, %d systems at a time, %d of %d runs made\n",
		r.Network, r.Work, r.Duration, r.Seed, r.Repetitions, r.Parallel, len(r.Runs), r.Planned)
	fmt.Fprintf(&b, "Load average of the machine: %s before, %s after\n", r.LoadBefore, r.LoadAfter)
	last := ""
	for _, row := range r.Rows {
		if row.Scenario != last {
			last = row.Scenario
			fmt.Fprintf(&b, "\n%-20s %6s %22s %22s %21s %6s %7s %7s %7s %7s %7s %7s %7s %8s %6s\n", row.Scenario, "P50ms", "P99ms",
				"P99.9ms", "Within99ms", "Ratio", "Goodput", "Failed%", "NotRun%", "Unknwn%", "Broken%", "Sheds/s", "Probe/s", "ProbeB/s", "CPUus")
		}
		m := row.Median
		fmt.Fprintf(&b, "%-20s %6.1f %s %s %s %6.2f %7.0f %7.2f %7.2f %7.2f %7.2f %7.0f %7.0f %8.0f %6.0f\n",
			row.Candidate, m.P50, row.P99.text(), row.P999.text(), row.Within99.text(), row.Ratio, m.Goodput,
			100*m.Failed, 100*m.NotRun, 100*m.Unknown, 100*m.Broken, m.Sheds, m.Probes, m.ProbeBytes, m.ProcessorMicros)
	}
	return b.String()
}

// text returns the median with the range in brackets, or a dash for nothing.
func (s Spread) text() string {
	if s == (Spread{}) {
		return fmt.Sprintf("%21s", "-")
	}
	return fmt.Sprintf("%6.1f [%5.1f-%6.1f]", s.Median, s.Min, s.Max)
}

// machineLoad returns the machine's load averages, where the system tells.
func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(text))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

// processorTime returns the processor time of the process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
