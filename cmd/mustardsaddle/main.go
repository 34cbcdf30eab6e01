// Command mustardsaddle is the load balancer. Its subcommands are implemented
// in internal/product/command; run it with --help for a list.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/platform"
)

// gcPercent is the heap growth, in percent, that triggers a garbage collection.
// The heap of a gateway is small, so more frequent collections cost little CPU
// time, while memory is the scarcer resource.
const gcPercent = 25

func main() {
	os.Exit(int(run()))
}

func run() command.Status {
	debug.SetGCPercent(gcPercent)
	// The signals stay caught until the process exits.
	stop, hangup := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangup, syscall.SIGHUP)
	serve := func(ctx context.Context, g command.GatewayConfig) error {
		cfg := instance.Config{Settings: g.Settings, Reloads: g.Reloads, Logger: g.Logger}
		if g.Settings.Platform.Kind == settings.KindDirectory {
			cfg.Directory = func(c *store.Client) mustardsaddle.Directory { return platform.New(c) }
		}
		return instance.Run(ctx, cfg)
	}
	cfg := command.Config{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Stop: stop, Hangup: hangup, Serve: serve}
	return command.Run(context.Background(), cfg, os.Args[1:])
}
