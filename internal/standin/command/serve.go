package command

import (
	"os"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	platformAbout = `Runs an object store with versions, conditional updates and watches, and a
list of VMs that shows changes with a delay. All data is kept in memory.

  GET, PUT /objects/KEY           an object; ETag is its version
  GET      /objects/KEY?version=N an old version
  GET      /objects/KEY?after=N&wait=20s  a watch: waits for a newer version
  GET      /objects?prefix=P      the keys
  GET      /machines              the list of VMs
  PUT, DELETE /machines/NAME      a VM, as JSON
  PUT      /faults                {"Down": true}, {"Delay": 1000000000},
                                  {"LoseAnswers": true}, {"HoldWatches": true}`
	serverAbout = `Runs an endpoint server with a limited number of slots. Each response carries
a load report.

  any path   work; ?Size=N returns a body of N bytes; ?Crash=Reset ends the process,
             ?Crash=Part ends it after part of the response
  /load      the load report alone
  /mode      PUT {"Draining": true}, {"Factor": 10}, {"FailFast": true}
  /count     executions by attempt, as JSON`
)

type platformCommand struct {
	Listen string        `long:"listen" value-name:"ADDRESS" description:"address to listen on" default:"127.0.0.1:7000"`
	Lag    time.Duration `long:"lag" value-name:"TIME" description:"delay until a change shows in the list of VMs" default:"1s"`

	env env
}

// Execute runs the stand-in for the platform.
func (c *platformCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	if c.Lag < 0 {
		return command.StatusErrorf(command.Usage, "got --lag %v, want 0 or more", c.Lag)
	}
	return c.env.serve("platform", c.Listen, platform.New(platform.Config{Lag: c.Lag}).Handler())
}

// crashDelay is the time for which a request runs under which the process ends.
const crashDelay = 20 * time.Millisecond

// recordMode is the file mode of a new record file.
const recordMode = 0o600

type serverCommand struct {
	Listen string        `long:"listen" value-name:"ADDRESS" description:"address to listen on" default:"127.0.0.1:7101"`
	Name   string        `long:"name" value-name:"NAME" description:"name of the server" default:"server-01"`
	Slots  int           `long:"slots" value-name:"N" description:"number of requests that run concurrently" default:"2"`
	Queue  int           `long:"queue" value-name:"N" description:"number of requests that may wait; more are shed" default:"2"`
	Work   time.Duration `long:"work" value-name:"TIME" description:"mean service time of a request" default:"10ms"`
	Cold   time.Duration `long:"cold" value-name:"TIME" description:"time after the start during which the server is slow"`
	Seed   uint64        `long:"seed" value-name:"N" description:"seed of the service times" default:"1"`
	Record string        `long:"record" value-name:"FILE" description:"file to which each execution is appended as a line of JSON"`

	env env
}

// Execute runs the stand-in for an endpoint server.
func (c *serverCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	if c.Slots < 1 || c.Queue < 0 || c.Work < 0 || c.Cold < 0 {
		return command.StatusErrorf(command.Usage, "got --slots %d --queue %d --work %v --cold %v, want at least 1 slot and none below 0",
			c.Slots, c.Queue, c.Work, c.Cold)
	}
	cfg := server.Config{Name: c.Name, Slots: c.Slots, Queue: c.Queue, Work: c.Work, ColdStart: c.Cold, Seed: c.Seed}
	if c.Record != "" {
		f, err := os.OpenFile(c.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordMode)
		if err != nil {
			return command.StatusErrorf(command.Usage, "open --record: %v", err)
		}
		defer func() { _ = f.Close() }()
		cfg.Record = f
	}
	handler := server.CrashHandler(server.New(cfg).Handler(), crashDelay, func() { os.Exit(int(command.Failed)) })
	return c.env.serve(c.Name, c.Listen, handler)
}
