// Command standin runs test doubles of the systems around the load balancer,
// for tests and benchmarks only. Its subcommands are implemented in
// internal/standin/command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mustardsaddle.example/mustardsaddle/internal/standin/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return int(command.Run(ctx, command.Config{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
