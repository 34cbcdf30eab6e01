// Package command implements the command line of the load balancer: it parses the
// arguments, runs one command and maps its result to an exit status. Commands write
// only to the given writers, so that each can be tested as a function.
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
	// Done means that the command succeeded.
	Done Status = iota
	// Failed means that the command failed while it ran.
	Failed
	// Usage means that the arguments are invalid.
	Usage
	// Mistakes means that a settings or rules file has mistakes; all of them have
	// been listed.
	Mistakes
	// NoMatch means that explain found no matching rule, or trace no matching log line.
	NoMatch
)

const about = `mustardsaddle is a load balancer for servers whose load changes within milliseconds.

Examples:
  mustardsaddle settings > gateway.ini
  mustardsaddle check --settings gateway.ini --rules rules.txt
  mustardsaddle explain GET http://gateway/rosters --rules rules.txt
  mustardsaddle serve --settings gateway.ini
  mustardsaddle trace 9c41d07be2a35f68 gateway-1.log
  mustardsaddle quarantine 10.0.1.5:8081
  mustardsaddle evacuations 10.0.1.5:8081

Exit status:
  0  success
  1  failure while the command ran
  2  invalid arguments
  3  mistakes in a settings or rules file, all of them listed
  4  no rule matches (explain), or no log line names the request (trace)`

// Config configures a run of the command line.
type Config struct {
	// In is the standard input, from which key reads, and trace if no files are named; nil
	// means empty input.
	In io.Reader
	// Out is the standard output, for results and for the log of serve.
	Out io.Writer
	// Err is the standard error, for messages.
	Err io.Writer
	// Stop delivers the signals on which serve stops the gateway gracefully.
	Stop <-chan os.Signal
	// Hangup delivers the signals on which serve reloads the settings file.
	Hangup <-chan os.Signal
	// Serve runs a gateway until the context ends.
	Serve func(ctx context.Context, g GatewayConfig) error
}

// GatewayConfig configures the gateway that serve runs.
type GatewayConfig struct {
	// Settings are the validated settings.
	Settings settings.Settings
	// Reloads delivers new settings, also validated, after a reload.
	Reloads <-chan settings.Settings
	// Logger receives the log events.
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
		{"trace", "Show the log lines about one request", traceAbout, &trace{cfg: cfg}},
		{"key", "Print the digest of a customer's key", keyAbout, &keyCommand{cfg: cfg}},
		{"quarantine", "List requests under which servers have ended, or release one", quarantineAbout, &quarantineCommand{ctx: ctx, cfg: cfg}},
		{"evacuate", "Send nothing to an availability zone, or take that back", evacuateAbout, &evacuateCommand{ctx: ctx, cfg: cfg}},
		{"evacuations", "List evacuated availability zones", evacuationsAbout, &evacuationsCommand{ctx: ctx, cfg: cfg}},
		{"settings", "Print an annotated settings file", settingsAbout, &example{cfg: cfg}},
		{"version", "Print the version", versionAbout, &version{cfg: cfg}},
	}
	for _, c := range commands {
		parser.Add(c.name, c.short, c.long, c.command)
	}
	return parser.Run(cfg.Out, cfg.Err, args)
}
