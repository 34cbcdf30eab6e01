package command

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

const serveAbout = `Runs one gateway until SIGTERM or SIGINT, then stops gracefully: the gateway
reports not ready, goes on taking calls for [Stop] Lag, and ends once every
call in flight has finished. A second signal ends it at once.

The settings file is read again when it changes and on SIGHUP; a log line says
what takes force at once and what only after a restart.

The log goes to standard output, one JSON object a line; docs/EVENTS.md lists
the events.

Example:
  mustardsaddle serve --settings gateway.ini`

// maxLogWait bounds how long the end of the process waits for the log's reader.
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
		return Failf(Mistakes, "%d in %s", n, c.Settings)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	log := event.NewWriter(ctx, event.WriterConfig{Out: c.cfg.Out, Gateway: s.Gateway.Name})
	logger := event.NewLogger(log, s.Log.Level, s.Gateway.Name)
	w := newReloader(c.Settings, c.cfg.Hangup, logger)
	watched := make(chan struct{})
	watching, end := context.WithCancel(ctx)
	go w.run(watching, watched)
	err := c.cfg.Serve(c.ctx, Gateway{Settings: s, Reloads: w.out, Logger: logger})
	end()
	<-watched
	cancel()
	select {
	case <-log.Done():
	case <-time.After(maxLogWait):
	}
	return err
}
