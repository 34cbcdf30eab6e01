package command

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

const serveAbout = `Runs one gateway until SIGTERM or SIGINT, then stops it gracefully: the
gateway reports that it is not ready, still accepts calls for [Stop] Lag, and
exits when every call in flight has finished, or when [Stop] Grace ends.
Further signals change nothing. To end it at once, with its calls, send
SIGKILL.

The settings file is reloaded when it changes and on SIGHUP; a log line lists
the sections that take effect immediately and those that require a restart.

The log is written to standard output, one JSON object per line;
docs/EVENTS.md lists the events.

Example:
  mustardsaddle serve --settings gateway.ini`

// maxLogWait bounds how long the process waits at its end until the reader of the log
// has accepted the remaining lines.
const maxLogWait = time.Second

type serve struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"INI settings file" required:"true"`

	ctx context.Context
	cfg Config
}

// Execute runs a gateway until the context ends.
func (c *serve) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	s, problems := settings.Load(c.Settings)
	if len(problems) > 0 {
		n := printSettings(c.cfg.Err, c.Settings, problems)
		return StatusErrorf(Mistakes, "%d mistake(s) in %s", n, c.Settings)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	log := event.NewWriter(ctx, event.WriterConfig{Out: c.cfg.Out, Gateway: s.Gateway.Name})
	logger := event.NewLogger(log, s.Log.Level, s.Gateway.Name)
	r := newReloader(c.Settings, c.cfg.Hangup, logger)
	reloaderDone := make(chan struct{})
	reloaderCtx, stopReloader := context.WithCancel(ctx)
	go r.run(reloaderCtx, reloaderDone)
	stopCtx, stop := context.WithCancel(c.ctx)
	stopsDone := make(chan struct{})
	go followStops(ctx, c.cfg.Stop, stop, logger, stopsDone)
	err := c.cfg.Serve(stopCtx, GatewayConfig{Settings: s, Reloads: r.out, Logger: logger})
	stop()
	stopReloader()
	<-reloaderDone
	cancel()
	<-stopsDone
	select {
	case <-log.Done():
	case <-time.After(maxLogWait):
	}
	return err
}
