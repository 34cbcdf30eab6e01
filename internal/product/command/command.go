// Package command is the command line of the load balancer: it reads the
// arguments, runs one command and turns its end into an exit status. Commands
// write to the given writers only, so that each can be tested as a function.
//
// # Usage
//
//	status := command.Run(ctx, command.Config{Out: os.Stdout, Err: os.Stderr, Serve: serve}, os.Args[1:])
//	os.Exit(int(status))
package command

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Status -output=status_string.go

// Status is the exit status of the process.
type Status int

const (
	// Done means that the command did what was asked.
	Done Status = iota
	// Failed means that the command failed while it ran.
	Failed
	// Usage means a mistake in the arguments.
	Usage
	// Mistakes means that a settings or rules file has mistakes, all of which
	// were listed.
	Mistakes
	// NoMatch means that explain found no rule, or trace no line.
	NoMatch
)

const about = `mustardsaddle is a load balancer for servers whose load shifts in milliseconds.

Examples:
  mustardsaddle settings > gateway.ini
  mustardsaddle check --settings gateway.ini --rules rules.txt
  mustardsaddle explain GET http://gateway/rosters --rules rules.txt
  mustardsaddle serve --settings gateway.ini
  mustardsaddle trace 9c41d07be2a35f68 gateway-1.log

Exit status:
  0  done
  1  failed while running
  2  mistake in the arguments
  3  mistakes in a settings or rules file, all listed
  4  no rule matches (explain), no line of the request (trace)`

// Config configures a run of the command line.
type Config struct {
	// In is what trace reads if it is given no files; nil means nothing.
	In io.Reader
	// Out takes results, and the log of serve.
	Out io.Writer
	// Err takes messages.
	Err io.Writer
	// Hangup takes the signals that ask for the settings to be read again.
	Hangup <-chan os.Signal
	// Serve runs a gateway until the context ends.
	Serve func(ctx context.Context, g Gateway) error
}

// Gateway is what serve runs.
type Gateway struct {
	// Settings are the checked settings.
	Settings settings.Settings
	// Reloads brings later settings, checked too.
	Reloads <-chan settings.Settings
	// Logger takes the log events.
	Logger zerolog.Logger
}

// Run runs the command that the arguments name.
func Run(ctx context.Context, cfg Config, args []string) Status {
	if cfg.In == nil {
		cfg.In = strings.NewReader("")
	}
	parser := NewParser("mustardsaddle", about)
	commands := []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"serve", "Run a gateway", serveAbout, &serve{ctx: ctx, cfg: cfg}},
		{"check", "List every mistake in settings and rules", checkAbout, &check{cfg: cfg}},
		{"explain", "Show which rule matches a request, and why", explainAbout, &explain{cfg: cfg}},
		{"trace", "Show what was logged about one request", traceAbout, &trace{cfg: cfg}},
		{"settings", "Print an annotated settings file", settingsAbout, &example{cfg: cfg}},
		{"version", "Print the version", versionAbout, &version{cfg: cfg}},
	}
	for _, c := range commands {
		parser.Add(c.name, c.short, c.long, c.command)
	}
	return parser.Run(cfg.Out, cfg.Err, args)
}
