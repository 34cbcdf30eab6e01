// Command mustardsaddle is the load balancer. Its commands are in
// internal/product/command; run it with --help for a list.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/product/settings"
)

func main() {
	os.Exit(int(run()))
}

func run() command.Status {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, abort := command.Stops(context.Background(), signals)
	serve := func(ctx context.Context, s settings.Settings, logger zerolog.Logger) error {
		return instance.Run(ctx, instance.Config{Settings: s, Logger: logger, Abort: abort})
	}
	return command.Run(ctx, command.Config{Out: os.Stdout, Err: os.Stderr, Serve: serve}, os.Args[1:])
}
