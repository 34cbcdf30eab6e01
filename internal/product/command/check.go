package command

import (
	"fmt"
	"io"
	"os"

	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

const checkAbout = `Checks a settings file, a rules file or both, and lists every mistake on a
line of its own, with its line number and result code; docs/CODES.md explains
the codes. No listener or connection is opened.

Examples:
  mustardsaddle check --settings gateway.ini
  mustardsaddle check --rules rules.txt`

type check struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"INI settings file"`
	Rules    string `long:"rules" short:"r" value-name:"FILE" description:"rules file"`

	cfg Config
}

// Execute lists the mistakes in the files.
func (c *check) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	if c.Settings == "" && c.Rules == "" {
		return StatusErrorf(Usage, "check needs --settings FILE, --rules FILE or both")
	}
	n := 0
	if c.Settings != "" {
		_, problems := settings.Load(c.Settings)
		n += printSettings(c.cfg.Out, c.Settings, problems)
	}
	if c.Rules != "" {
		_, problems, err := readRules(c.Rules)
		if err != nil {
			return err
		}
		n += printRules(c.cfg.Out, c.Rules, problems)
	}
	if n > 0 {
		return StatusErrorf(Mistakes, "%d mistake(s) found", n)
	}
	return nil
}

// printSettings prints the problems found in a settings file, and returns their number.
func printSettings(w io.Writer, path string, problems []settings.Problem) int {
	for _, p := range problems {
		_, _ = fmt.Fprintf(w, "%s: %v\n", path, p)
	}
	printNoMistakes(w, path, len(problems))
	return len(problems)
}

// printRules prints the problems found in a rules file, and returns their number.
func printRules(w io.Writer, path string, problems []rule.Problem) int {
	for _, p := range problems {
		_, _ = fmt.Fprintf(w, "%s: line %d: %s (code %d %s)\n", path, p.Line, p.Text, int(p.Code), p.Code)
	}
	printNoMistakes(w, path, len(problems))
	return len(problems)
}

func printNoMistakes(w io.Writer, path string, n int) {
	if n == 0 {
		_, _ = fmt.Fprintf(w, "%s: no mistakes\n", path)
	}
}

// readRules reads a rules file with the size limit and the checks that apply to rules
// from the store, and returns its text and mistakes.
func readRules(path string) (string, []rule.Problem, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", nil, StatusErrorf(Failed, "can't read rules: %v", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, store.MaxValueBytes+1))
	if err != nil {
		return "", nil, StatusErrorf(Failed, "can't read rules: %v", err)
	}
	_, problems := rule.Parse(string(text))
	return string(text), problems, nil
}
