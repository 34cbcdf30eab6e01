// Command standin runs small stand-ins for the outside systems that the load
// balancer talks to. It is for tests and trials only; its commands are in
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
