// Command standin runs small stand-ins for the outside systems that the load
// balancer talks to. It is for tests and trials only.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// headerTimeout bounds the reading of a request header.
const headerTimeout = 5 * time.Second

type platformCommand struct {
	Listen string        `long:"listen" description:"address to listen on" default:"127.0.0.1:7000"`
	Lag    time.Duration `long:"lag" description:"how late the list of VMs shows a change" default:"1s"`
}

// Execute runs the platform stand-in until a signal.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Listen, platform.New(platform.Config{Lag: c.Lag}).Handler())
}

type serverCommand struct {
	Listen string        `long:"listen" description:"address to listen on" default:"127.0.0.1:7101"`
	Name   string        `long:"name" description:"name of the server" default:"server-01"`
	Slots  int           `long:"slots" description:"requests that run at a time" default:"2"`
	Queue  int           `long:"queue" description:"requests that wait; more are shed" default:"2"`
	Work   time.Duration `long:"work" description:"mean working time of a request" default:"10ms"`
	Cold   time.Duration `long:"cold" description:"how long the server is slow after start"`
	Seed   uint64        `long:"seed" description:"seed of the working times" default:"1"`
}

// Execute runs the server stand-in until a signal.
func (c *serverCommand) Execute([]string) error {
	s := server.New(server.Config{
		Name: c.Name, Slots: c.Slots, Queue: c.Queue, Work: c.Work, Cold: c.Cold, Seed: c.Seed,
	})
	return serve(c.Listen, s.Handler())
}

func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	srv := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.ListenAndServe() }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return srv.Close()
	}
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.AddCommand("platform", "Run the platform stand-in", "Object store and list of VMs.", &platformCommand{})
	_, err2 := parser.AddCommand("server", "Run an endpoint server stand-in", "An endpoint server with slots.", &serverCommand{})
	if err := errors.Join(err, err2); err != nil {
		return err
	}
	_, err = parser.Parse()
	return err
}
