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

const trialAbout = `Without --scenario: runs one whole small system on the loopback interface (platform,
servers, three gateways, callers), changes a rule, stops a gateway gracefully,
and prints how the calls ended, the cost of measuring, and the time until the
rule was in force everywhere. The exit status is 1 if a call was cut or an
attempt ran more than once. Only --duration, --seed, --log and --json apply.

With --scenario: compares the policies of choice on such systems, with the same
calls for each, and prints a table of latencies, ends and costs.

Examples:
  standin trial
  standin trial --scenario Steady70 --candidate TwoChoices --candidate PreferredSpill
  standin trial --scenario all --repetitions 3 --limit 9m`

type trialCommand struct {
	Scenario    []string      `long:"scenario" value-name:"NAME" description:"scenario of a comparison, or all; repeat for more"`
	Candidate   []string      `long:"candidate" value-name:"NAME" description:"candidate to run; repeat for more; none means all"`
	Network     string        `long:"network" value-name:"NAME" description:"ShedNetwork or Bureau, whose sizes and delays apply" default:"ShedNetwork"`
	Duration    time.Duration `long:"duration" value-name:"TIME" description:"time during which calls arrive in one run; 0 means 10s, or 4s in a comparison" default:"0s"`
	Repetitions int           `long:"repetitions" value-name:"N" description:"runs of each scenario with each candidate" default:"3"`
	Parallel    int           `long:"parallel" value-name:"N" description:"systems that run at a time; 0 means a sixth of the processors" default:"0"`
	Limit       time.Duration `long:"limit" value-name:"TIME" description:"bound on the whole comparison; fewer repetitions are made to fit" default:"9m"`
	Work        time.Duration `long:"work" value-name:"TIME" description:"mean working time of a call" default:"40ms"`
	Queue       int           `long:"queue" value-name:"N" description:"calls that wait at a server beyond its slots" default:"2"`
	Seed        uint64        `long:"seed" value-name:"N" description:"seed of arrivals, targets and working times" default:"1"`
	Log         bool          `long:"log" description:"print the log of the gateways on standard error"`
	JSON        bool          `long:"json" description:"print the report as JSON"`

	env env
}

// Execute runs the comparison and prints its report.
func (c *trialCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	if c.Duration < 0 || c.Repetitions < 1 || c.Parallel < 0 || c.Limit <= 0 || c.Work <= 0 || c.Queue < 1 {
		return command.Failf(command.Usage, "got --duration %v --repetitions %d --parallel %d --limit %v --work %v --queue %d, want them above 0",
			c.Duration, c.Repetitions, c.Parallel, c.Limit, c.Work, c.Queue)
	}
	if len(c.Scenario) == 0 {
		return c.small()
	}
	return c.compare()
}

// small runs one small system.
func (c *trialCommand) small() error {
	cfg := trial.SmallConfig{Duration: c.Duration, Seed: c.Seed, Logger: zerolog.Nop(), Progress: c.env.cfg.Err}
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
		return command.Failf(command.Failed, "%d calls were cut and %d attempts ran more than once, want none", report.Cut, report.Repeated)
	}
	return nil
}

// compare runs the scenarios with the candidates.
func (c *trialCommand) compare() error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	report, err := trial.Compare(c.env.ctx, cfg)
	if code.Of(err) == code.SettingsBadValue {
		return command.Failf(command.Usage, "%v", err)
	}
	if len(report.Runs) == 0 {
		return err
	}
	return errors.Join(err, c.print(report, report.Text()))
}

func (c *trialCommand) config() (trial.CompareConfig, error) {
	network := trial.ShedNetwork
	switch c.Network {
	case trial.ShedNetwork.String():
	case trial.Bureau.String():
		network = trial.Bureau
	default:
		return trial.CompareConfig{}, command.Failf(command.Usage, "got --network %q, want %v or %v", c.Network, trial.ShedNetwork, trial.Bureau)
	}
	return trial.CompareConfig{
		Scenarios: c.Scenario, Candidates: c.Candidate, Network: network, Duration: c.Duration,
		Repetitions: c.Repetitions, Parallel: c.Parallel, Limit: c.Limit, Work: c.Work, Queue: c.Queue, Seed: c.Seed,
		Progress: func(r trial.Run) {
			_, _ = fmt.Fprintf(c.env.cfg.Err, "ran %s with %s, repetition %d\n", r.Scenario, r.Candidate, r.Repetition+1)
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
