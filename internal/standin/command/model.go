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

const modelAbout = `Compares load balancing policies in a discrete-event simulation. It uses
neither network nor clock, and equal seeds give equal results. The policy
Exact is a reference: a single gateway that knows the state of every server at
all times, at no cost. It shows how much better another policy could be.

Examples:
  standin model --list
  standin model
  standin model --pattern Surge --policy Survey --policy Exact --seeds 20 --plot .`

type modelCommand struct {
	List     bool     `long:"list" description:"list the load patterns and the policies"`
	Zones    bool     `long:"zones" description:"compare ways of leaving the availability zone, in load patterns that differ by zone"`
	Pattern  []string `long:"pattern" value-name:"NAME" description:"load pattern to simulate; repeat for more; none means all"`
	Policy   []string `long:"policy" value-name:"NAME" description:"policy to compare; repeat for more; none means all"`
	Seeds    int      `long:"seeds" value-name:"N" description:"number of runs of each pattern with each policy" default:"5"`
	Seed     uint64   `long:"seed" value-name:"N" description:"seed of the first run" default:"1"`
	Parallel int      `long:"parallel" value-name:"N" description:"number of concurrent runs; 0 means half of the processors" default:"0"`
	Plot     string   `long:"plot" value-name:"DIRECTORY" description:"directory for an SVG plot of each pattern"`
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
		return command.StatusErrorf(command.Usage, "got --seeds %d --parallel %d, want at least 1 seed and --parallel of 0 or more", c.Seeds, c.Parallel)
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

// list prints the names and descriptions of all patterns and policies.
func (c *modelCommand) list() error {
	var b strings.Builder
	for _, p := range c.patterns() {
		fmt.Fprintf(&b, "pattern %-16s %s\n", p.Name, p.Description)
	}
	for _, p := range c.policies() {
		fmt.Fprintf(&b, "policy  %-16s %s\n", p.Name, p.Description)
	}
	_, err := io.WriteString(c.env.cfg.Out, b.String())
	return err
}

// patterns returns the load patterns to select from.
func (c *modelCommand) patterns() []model.Pattern {
	if c.Zones {
		return model.ZonePatterns()
	}
	return model.Patterns()
}

// policies returns the policies to select from.
func (c *modelCommand) policies() []model.Policy {
	if c.Zones {
		return model.ZonePolicies()
	}
	return model.Policies()
}

// config returns the comparison that the arguments describe.
func (c *modelCommand) config() (experiment.Config, error) {
	patterns, err := selectByName("pattern", c.Pattern, c.patterns(), func(p model.Pattern) string { return p.Name })
	if err != nil {
		return experiment.Config{}, err
	}
	policies, err := selectByName("policy", c.Policy, c.policies(), func(p model.Policy) string { return p.Name })
	if err != nil {
		return experiment.Config{}, err
	}
	return experiment.Config{
		Patterns: patterns, Policies: policies, FirstSeed: c.Seed, Seeds: c.Seeds, Parallel: c.Parallel,
	}, nil
}

// selectByName returns the items with the given names, or all items if names is empty.
// flag is the flag that the names come from, for errors.
func selectByName[T any](flag string, names []string, items []T, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return items, nil
	}
	var known []string
	for _, item := range items {
		known = append(known, nameOf(item))
	}
	var matches []T
	for _, name := range names {
		i := slices.Index(known, name)
		if i < 0 {
			return nil, command.StatusErrorf(command.Usage, "got --%s %q, want one of %s", flag, name, strings.Join(known, ", "))
		}
		matches = append(matches, items[i])
	}
	return matches, nil
}

// plot writes a plot of each pattern, if --plot is given.
func (c *modelCommand) plot(report experiment.Report, patterns []model.Pattern) error {
	if c.Plot == "" {
		return nil
	}
	for _, p := range patterns {
		if err := c.plotPattern(report, p.Name); err != nil {
			return err
		}
	}
	return nil
}

// plotPattern writes the plot of a pattern to a file.
func (c *modelCommand) plotPattern(report experiment.Report, pattern string) error {
	path := filepath.Join(c.Plot, pattern+".svg")
	f, err := os.Create(path)
	if err != nil {
		return command.StatusErrorf(command.Failed, "create plot: %v", err)
	}
	err = report.Plot(f, pattern)
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = code.Wrapf(code.Internal, closeErr, "write %s", path)
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
