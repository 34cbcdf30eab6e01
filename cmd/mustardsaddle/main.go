// Command mustardsaddle is the load balancer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/product/settings"
)

type serveCommand struct {
	Settings string `long:"settings" short:"s" description:"INI settings file" required:"true"`
}

// Execute runs a gateway until SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) error {
	s, problems := settings.Load(c.Settings)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return code.Errorf(problems[0].Code, "settings have %d mistakes", len(problems))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("Gateway", s.Gateway.Name).Logger()
	return instance.Run(ctx, instance.Config{Settings: s, Logger: logger})
}

func main() {
	parser := flags.NewNamedParser("mustardsaddle", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("serve", "Run a gateway", "Runs one gateway until SIGTERM.", &serveCommand{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
