package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/standin/experiment"
	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

const modelAbout = `Compares policies of choice in a simulation of the served systems. Nothing is sent
and no clock is read: equal seeds give equal results. The policy Exact is one
gateway that knows every server at every moment, at no price; it shows how much
better a policy could be.

Examples:
  standin model --list
  standin model
  standin model --pattern Surge --policy Survey --policy Exact --seeds 20 --plot .`

type modelCommand struct {
	List     bool     `long:"list" description:"list the patterns and the policies"`
	Pattern  []string `long:"pattern" value-name:"NAME" description:"pattern to play; repeat for more; none means all"`
	Policy   []string `long:"policy" value-name:"NAME" description:"policy to play; repeat for more; none means all"`
	Seeds    int      `long:"seeds" value-name:"N" description:"runs of each pattern with each policy" default:"5"`
	Seed     uint64   `long:"seed" value-name:"N" description:"seed of the first run" default:"1"`
	Parallel int      `long:"parallel" value-name:"N" description:"runs at a time; 0 means half of the processors" default:"0"`
	Plot     string   `long:"plot" value-name:"DIRECTORY" description:"write an SVG plot of each pattern there"`
	JSON     bool     `long:"json" description:"print the report as JSON"`

	env env
}

// Execute runs the comparison and prints its report.
func (c *modelCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	if c.List {
		return c.list()
	}
	if c.Seeds < 1 || c.Parallel < 0 {
		return command.Failf(command.Usage, "got --seeds %d --parallel %d, want at least 1 and 0", c.Seeds, c.Parallel)
	}
	cfg, err := c.config()
	if err != nil {
		return err
	}
	report, err := experiment.Run(c.env.ctx, cfg)
	if err != nil {
		return err
	}
	if err := c.plot(report, cfg.Patterns); err != nil {
		return err
	}
	return c.print(report)
}

// list prints the names with what they mean.
func (c *modelCommand) list() error {
	var b strings.Builder
	for _, p := range model.Patterns() {
		fmt.Fprintf(&b, "pattern %-16s %s\n", p.Name, p.Description)
	}
	for _, p := range model.Policies() {
		fmt.Fprintf(&b, "policy  %-16s %s\n", p.Name, p.Description)
	}
	_, err := io.WriteString(c.env.cfg.Out, b.String())
	return err
}

// config finds the patterns and policies by their names.
func (c *modelCommand) config() (experiment.Config, error) {
	patterns, err := pick("pattern", c.Pattern, model.Patterns(), func(p model.Pattern) string { return p.Name })
	if err != nil {
		return experiment.Config{}, err
	}
	policies, err := pick("policy", c.Policy, model.Policies(), func(p model.Policy) string { return p.Name })
	if err != nil {
		return experiment.Config{}, err
	}
	return experiment.Config{
		Patterns: patterns, Policies: policies, FirstSeed: c.Seed, Seeds: c.Seeds, Parallel: c.Parallel,
	}, nil
}

// pick returns the items of the given names, or all if there are no names.
func pick[T any](what string, names []string, all []T, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var known []string
	for _, item := range all {
		known = append(known, name(item))
	}
	var picked []T
	for _, wanted := range names {
		at := slices.Index(known, wanted)
		if at < 0 {
			return nil, command.Failf(command.Usage, "got --%s %q, want one of %s", what, wanted, strings.Join(known, ", "))
		}
		picked = append(picked, all[at])
	}
	return picked, nil
}

// plot writes an image for each pattern, if that is wanted.
func (c *modelCommand) plot(report experiment.Report, patterns []model.Pattern) error {
	if c.Plot == "" {
		return nil
	}
	for _, p := range patterns {
		if err := c.plotOne(report, p.Name); err != nil {
			return err
		}
	}
	return nil
}

func (c *modelCommand) plotOne(report experiment.Report, pattern string) error {
	path := filepath.Join(c.Plot, pattern+".svg")
	f, err := os.Create(path)
	if err != nil {
		return command.Failf(command.Failed, "plot: %v", err)
	}
	err = report.Plot(f, pattern)
	if closed := f.Close(); err == nil && closed != nil {
		err = code.Wrapf(code.Internal, closed, "write %s", path)
	}
	return err
}

// print prints the report as JSON or as a table.
func (c *modelCommand) print(report experiment.Report) error {
	if !c.JSON {
		_, err := io.WriteString(c.env.cfg.Out, report.Text())
		return err
	}
	enc := json.NewEncoder(c.env.cfg.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
