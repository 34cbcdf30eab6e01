// Package command implements the command line of the standin program: stand-ins for the
// platform, endpoint servers and callers, for tests and benchmarks.
//
// # Usage
//
//	status := command.Run(ctx, command.Config{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
)

// headerTimeout limits the time to read a request header.
const headerTimeout = 5 * time.Second

const about = `standin runs stand-ins for the external systems that mustardsaddle talks to.
They are for tests and benchmarks only.

Examples:
  standin platform --listen 127.0.0.1:7000
  standin server --listen 127.0.0.1:7101 --name booking-01 --slots 2
  standin load --target http://127.0.0.1:8001 --rate 200 --duration 10s
  standin trial
  standin trial --scenario all
  standin model --pattern Surge

Exit status:
  0  done
  1  failed while running
  2  invalid arguments`

// Config configures Run.
type Config struct {
	// Out receives results.
	Out io.Writer
	// Err receives error messages, progress messages and logs.
	Err io.Writer
}

// Run runs the command given by the arguments until it completes or the context ends.
func Run(ctx context.Context, cfg Config, args []string) command.Status {
	parser := command.NewParser("standin", about)
	env := env{ctx: ctx, cfg: cfg}
	parser.Add("platform", "Run a stand-in for the platform", platformAbout, &platformCommand{env: env})
	parser.Add("server", "Run a stand-in for an endpoint server", serverAbout, &serverCommand{env: env})
	parser.Add("load", "Generate load on gateways and measure latencies", loadAbout, &loadCommand{env: env})
	parser.Add("trial", "Run a whole small system, or benchmark policies on such systems", trialAbout, &trialCommand{env: env})
	parser.Add("model", "Compare policies in a discrete-event simulation", modelAbout, &modelCommand{env: env})
	return parser.Run(cfg.Out, cfg.Err, args)
}

// env holds what all commands share.
type env struct {
	ctx context.Context
	cfg Config
}

// serve serves HTTP at an address until the context ends.
func (e env) serve(name, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(e.ctx, "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen on address %s", address)
	}
	_, _ = fmt.Fprintf(e.cfg.Out, "%s listens on %s\n", name, l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	select {
	case err := <-serveErr:
		return errors.Annotatef(err, "serve %s", address)
	case <-e.ctx.Done():
		err := srv.Close()
		if stopErr := <-serveErr; !errors.Is(stopErr, http.ErrServerClosed) {
			return stopErr
		}
		return err
	}
}
