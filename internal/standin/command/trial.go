package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/standin/trial"
)

const trialAbout = `Without --scenario: runs a whole small system on the loopback interface
(platform, servers, three gateways and a load generator), changes a routing
rule, stops a gateway gracefully, and prints the outcomes of the calls, the
rate of load probes and queries, and the time until every gateway applied the
rule. The exit status is 1 if a call was cut or an attempt ran more than once.
Only --duration, --seed, --log and --json apply.

With --scenario: benchmarks load balancing policies on whole systems, with the
same calls for each policy, and prints a table of latencies, outcomes and costs.

Examples:
  standin trial
  standin trial --scenario Steady70 --candidate TwoChoices --candidate PreferredSpill
  standin trial --scenario all --repetitions 3 --limit 9m`

type trialCommand struct {
	Scenario    []string      `long:"scenario" value-name:"NAME" description:"scenario to run, or all; repeat for more"`
	Candidate   []string      `long:"candidate" value-name:"NAME" description:"policy to benchmark; repeat for more; none means all"`
	Network     string        `long:"network" value-name:"NAME" description:"size and delays of the systems: ShedNetwork or Bureau" default:"ShedNetwork"`
	Duration    time.Duration `long:"duration" value-name:"TIME" description:"time during which calls arrive in one run; 0 means 10s, or 4s in a comparison" default:"0s"`
	Repetitions int           `long:"repetitions" value-name:"N" description:"number of runs of each scenario with each candidate" default:"3"`
	Parallel    int           `long:"parallel" value-name:"N" description:"number of concurrent systems; 0 means a sixth of the processors" default:"0"`
	Limit       time.Duration `long:"limit" value-name:"TIME" description:"time limit of the whole comparison; fewer repetitions are run if necessary" default:"9m"`
	Work        time.Duration `long:"work" value-name:"TIME" description:"mean service time of a call" default:"40ms"`
	Queue       int           `long:"queue" value-name:"N" description:"number of calls that may wait at a server while its slots are taken" default:"2"`
	Seed        uint64        `long:"seed" value-name:"N" description:"seed of arrivals, targets and service times" default:"1"`
	Log         bool          `long:"log" description:"print the log of the gateways to standard error"`
	JSON        bool          `long:"json" description:"print the report as JSON"`

	env env
}

// Execute runs the small system or the comparison, and prints the report.
func (c *trialCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	if c.Duration < 0 || c.Repetitions < 1 || c.Parallel < 0 || c.Limit <= 0 || c.Work <= 0 || c.Queue < 1 {
		return command.StatusErrorf(command.Usage, "got --duration %v --repetitions %d --parallel %d --limit %v --work %v --queue %d, want values above 0, and 0 or more for --duration and --parallel",
			c.Duration, c.Repetitions, c.Parallel, c.Limit, c.Work, c.Queue)
	}
	if len(c.Scenario) == 0 {
		return c.runSmallSystem()
	}
	return c.compare()
}

// runSmallSystem runs the small system without a scenario.
func (c *trialCommand) runSmallSystem() error {
	cfg := trial.SmallSystemConfig{Duration: c.Duration, Seed: c.Seed, Logger: zerolog.Nop(), Progress: c.env.cfg.Err}
	if c.Log {
		cfg.Logger = event.NewLogger(c.env.cfg.Err, "info", "trial")
	}
	report, err := trial.RunSmallSystem(c.env.ctx, cfg)
	if err != nil {
		return err
	}
	if err := c.print(report, report.Text()); err != nil {
		return err
	}
	if report.Cut > 0 || report.Repeated > 0 {
		return command.StatusErrorf(command.Failed, "%d calls were cut and %d attempts ran more than once, want none", report.Cut, report.Repeated)
	}
	return nil
}

// compare runs the scenarios with the candidates, and prints the report even if it is
// partial, but not if no run succeeded.
func (c *trialCommand) compare() error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	report, err := trial.Compare(c.env.ctx, cfg)
	if code.Of(err) == code.SettingsBadValue {
		return command.StatusErrorf(command.Usage, "%v", err)
	}
	if len(report.Runs) == 0 {
		return err
	}
	return errors.Join(err, c.print(report, report.Text()))
}

// config returns the comparison that the arguments describe.
func (c *trialCommand) config() (trial.CompareConfig, error) {
	network := trial.ShedNetwork
	switch c.Network {
	case trial.ShedNetwork.String():
	case trial.Bureau.String():
		network = trial.Bureau
	default:
		return trial.CompareConfig{}, command.StatusErrorf(command.Usage, "got --network %q, want %v or %v", c.Network, trial.ShedNetwork, trial.Bureau)
	}
	return trial.CompareConfig{
		Scenarios: c.Scenario, Candidates: c.Candidate, Network: network, Duration: c.Duration,
		Repetitions: c.Repetitions, Parallel: c.Parallel, Limit: c.Limit, Work: c.Work, Queue: c.Queue, Seed: c.Seed,
		Progress: func(r trial.Run) {
			_, _ = fmt.Fprintf(c.env.cfg.Err, "completed %s with %s, repetition %d\n", r.Scenario, r.Candidate, r.Repetition+1)
		},
	}, nil
}

// print prints a report as JSON or as text.
func (c *trialCommand) print(report any, text string) error {
	if !c.JSON {
		_, err := fmt.Fprint(c.env.cfg.Out, text)
		return err
	}
	enc := json.NewEncoder(c.env.cfg.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
