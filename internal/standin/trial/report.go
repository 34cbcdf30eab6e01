package trial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Figures are the measurements of one run.
type Figures struct {
	// Calls is the number of calls after the warmup.
	Calls int64
	// P50, P99 and P999 are quantiles of the latency from the scheduled arrival, in
	// milliseconds.
	P50, P99, P999 float64
	// Within99 is the latency in milliseconds within which 99 % of all calls
	// succeeded; 0 if fewer succeeded at all.
	Within99 float64
	// Goodput is the number of successful calls per second.
	Goodput float64
	// Failed, NotRun, Unknown and Broken are shares of calls, by outcome as in package
	// load; Broken includes dropped calls.
	Failed, NotRun, Unknown, Broken float64
	// Sheds is the number of requests per second that servers shed.
	Sheds float64
	// Probes and ProbeBytes are the load probes of all gateways per second, in
	// messages and bytes.
	Probes, ProbeBytes float64
	// ProcessorMicros is the CPU time of the whole process, warmup included, divided by
	// Calls, in microseconds; 0 if several systems ran concurrently.
	ProcessorMicros float64
}

// Spread is the median and the range of a measurement over the repetitions.
type Spread struct {
	Median, Min, Max float64
}

// Row holds the results of a candidate in a scenario.
type Row struct {
	Scenario, Candidate string
	Repetitions         int
	P50, P99, P999      Spread
	// Within99 is 0 if less than 99 % of the calls succeeded in any repetition.
	Within99 Spread
	// Ratio is the median Within99 relative to that of the CentralQueue candidate; 0 if
	// either is missing, or if CentralQueue comes later in the list of candidates.
	Ratio float64
	// Median holds the median of each measurement.
	Median Figures
}

// Report is the result of a comparison.
type Report struct {
	// Network, Work, Duration, Seed and Parallel are those of the CompareConfig, with
	// its defaults.
	Network  string
	Work     time.Duration
	Duration time.Duration
	Seed     uint64
	Parallel int
	// Repetitions is the number of repetitions planned within the time limit.
	Repetitions int
	// Planned is the number of planned runs; len(Runs) is that of successful runs.
	Planned int
	// LoadBefore and LoadAfter are the machine's load averages before and after the
	// comparison.
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

// addRows computes the rows from the runs, and reads the load averages after them.
func (r *Report) addRows(scenarios []scenario, candidates []candidate) {
	r.LoadAfter = machineLoad()
	for _, s := range scenarios {
		reference := 0.0
		for _, c := range candidates {
			row := r.newRow(s.name, c.name)
			if row.Repetitions == 0 {
				continue
			}
			if c.central {
				reference = row.Within99.Median
			}
			if reference > 0 {
				row.Ratio = row.Within99.Median / reference
			}
			r.Rows = append(r.Rows, row)
		}
	}
}

// newRow summarizes the runs of a scenario with a candidate.
func (r *Report) newRow(scenario, candidate string) Row {
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
	spread := func(get func(Figures) float64) Spread { return newSpread(runs, get) }
	row.P50 = spread(func(f Figures) float64 { return f.P50 })
	row.P99 = spread(func(f Figures) float64 { return f.P99 })
	row.P999 = spread(func(f Figures) float64 { return f.P999 })
	row.Within99 = spread(func(f Figures) float64 { return f.Within99 })
	if row.Within99.Min == 0 {
		row.Within99 = Spread{}
	}
	row.Median = Figures{
		Within99:        row.Within99.Median,
		Calls:           int64(spread(func(f Figures) float64 { return float64(f.Calls) }).Median),
		P50:             row.P50.Median,
		P99:             row.P99.Median,
		P999:            row.P999.Median,
		Goodput:         spread(func(f Figures) float64 { return f.Goodput }).Median,
		Failed:          spread(func(f Figures) float64 { return f.Failed }).Median,
		NotRun:          spread(func(f Figures) float64 { return f.NotRun }).Median,
		Unknown:         spread(func(f Figures) float64 { return f.Unknown }).Median,
		Broken:          spread(func(f Figures) float64 { return f.Broken }).Median,
		Sheds:           spread(func(f Figures) float64 { return f.Sheds }).Median,
		Probes:          spread(func(f Figures) float64 { return f.Probes }).Median,
		ProbeBytes:      spread(func(f Figures) float64 { return f.ProbeBytes }).Median,
		ProcessorMicros: spread(func(f Figures) float64 { return f.ProcessorMicros }).Median,
	}
	return row
}

func newSpread(runs []Figures, get func(Figures) float64) Spread {
	values := make([]float64, len(runs))
	for i, f := range runs {
		values[i] = get(f)
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}

// Text returns the report as a table of medians over the repetitions. The range of each
// percentile is given in brackets.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Network %s, service time %v, run duration %v, seed %d, %d repetitions, %d concurrent systems, %d of %d runs completed\n",
		r.Network, r.Work, r.Duration, r.Seed, r.Repetitions, r.Parallel, len(r.Runs), r.Planned)
	fmt.Fprintf(&b, "Machine load average: %s before, %s after\n", r.LoadBefore, r.LoadAfter)
	scenario := ""
	for _, row := range r.Rows {
		if row.Scenario != scenario {
			scenario = row.Scenario
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

// text returns the median with the range in brackets, or a dash for a zero Spread.
func (s Spread) text() string {
	if s == (Spread{}) {
		return fmt.Sprintf("%21s", "-")
	}
	return fmt.Sprintf("%6.1f [%5.1f-%6.1f]", s.Median, s.Min, s.Max)
}

// machineLoad returns the machine's load averages, or "unknown" without /proc/loadavg.
func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(text))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

// processorTime returns the CPU time that the process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
