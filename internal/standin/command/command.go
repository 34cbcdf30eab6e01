// Package command is the command line of the stand-ins: small programs in place
// of the platform, the endpoint servers and the callers, for tests and trials.
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

// headerTimeout bounds the reading of a request header.
const headerTimeout = 5 * time.Second

const about = `standin runs small stand-ins for the outside systems that mustardsaddle talks to.
They are for tests and trials only.

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
  2  mistake in the arguments`

// Config configures a run of the command line.
type Config struct {
	// Out takes results.
	Out io.Writer
	// Err takes messages.
	Err io.Writer
}

// Run runs the command that the arguments name until it ends or the context does.
func Run(ctx context.Context, cfg Config, args []string) command.Status {
	parser := command.NewParser("standin", about)
	env := env{ctx: ctx, cfg: cfg}
	parser.Add("platform", "Run the platform stand-in", platformAbout, &platformCommand{env: env})
	parser.Add("server", "Run an endpoint server stand-in", serverAbout, &serverCommand{env: env})
	parser.Add("load", "Drive gateways with calls and measure them", loadAbout, &loadCommand{env: env})
	parser.Add("trial", "Run a whole small system, or compare policies", trialAbout, &trialCommand{env: env})
	parser.Add("model", "Compare policies in a simulation", modelAbout, &modelCommand{env: env})
	return parser.Run(cfg.Out, cfg.Err, args)
}

// env is what every command needs.
type env struct {
	ctx context.Context
	cfg Config
}

// serve answers requests at an address until the context ends.
func (e env) serve(name, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(e.ctx, "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "open address %s", address)
	}
	_, _ = fmt.Fprintf(e.cfg.Out, "%s listens on %s\n", name, l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	select {
	case err := <-served:
		return errors.Annotatef(err, "serve %s", address)
	case <-e.ctx.Done():
		err := srv.Close()
		if end := <-served; !errors.Is(end, http.ErrServerClosed) {
			return end
		}
		return err
	}
}
