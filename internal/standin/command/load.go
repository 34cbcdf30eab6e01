package command

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/standin/load"
)

const loadAbout = `Generates an open-loop load on gateways: calls arrive at random times,
however long the responses take. Prints the outcomes of the calls, and their
latencies from the scheduled arrival. The warmup is not part of the report.

A stream is SERVICE:METHOD:PATH:SHARE. SHARE is a weight: calls are divided
among the streams in proportion to it.

Example:
  standin load --target http://127.0.0.1:8001 --target http://127.0.0.1:8002 \
    --stream Booking:GET:/rosters:9 --stream Booking:POST:/bookings:1 --rate 200 --duration 10s`

// streamParts is the number of fields in the text of a stream.
const streamParts = 4

type loadCommand struct {
	Target   []string      `long:"target" value-name:"URL" description:"base URL of a gateway; repeat for more" required:"true"`
	Stream   []string      `long:"stream" value-name:"STREAM" description:"stream of calls; repeat for more" default:"Booking:GET:/rosters:1"`
	Rate     float64       `long:"rate" value-name:"N" description:"mean number of calls per second" default:"100"`
	Duration time.Duration `long:"duration" value-name:"TIME" description:"time during which calls arrive" default:"10s"`
	Warmup   time.Duration `long:"warmup" value-name:"TIME" description:"time at the start that is not measured" default:"1s"`
	Work     time.Duration `long:"work" value-name:"TIME" description:"mean service time that calls request; 0 leaves it to the server" default:"0s"`
	Delay    time.Duration `long:"delay" value-name:"TIME" description:"one-way delay between callers and gateways" default:"0s"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" description:"timeout of a call" default:"5s"`
	Seed     uint64        `long:"seed" value-name:"N" description:"seed of arrivals, targets and service times" default:"1"`
	JSON     bool          `long:"json" description:"print the measurements as JSON"`

	env env
}

// Execute generates the load and prints the measurements.
func (c *loadCommand) Execute(args []string) error {
	if err := command.NoArguments(args); err != nil {
		return err
	}
	cfg, err := c.config()
	if err != nil {
		return err
	}
	result, err := load.Run(c.env.ctx, cfg)
	if err != nil {
		return command.StatusErrorf(command.Usage, "%v", err)
	}
	if c.JSON {
		enc := json.NewEncoder(c.env.cfg.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(result)
	}
	_, err = fmt.Fprint(c.env.cfg.Out, result.Text())
	return err
}

// config converts the arguments, and checks those that package load does not check.
func (c *loadCommand) config() (load.Config, error) {
	cfg := load.Config{
		Targets: c.Target, Rate: c.Rate, Duration: c.Duration, Warmup: c.Warmup, Work: c.Work,
		Delay: c.Delay, Timeout: c.Timeout, Seed: c.Seed,
	}
	for _, target := range c.Target {
		u, err := url.Parse(target)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return cfg, command.StatusErrorf(command.Usage, "got --target %q, want a base URL such as http://127.0.0.1:8001", target)
		}
	}
	for _, text := range c.Stream {
		stream, err := parseStream(text)
		if err != nil {
			return cfg, err
		}
		cfg.Streams = append(cfg.Streams, stream)
	}
	if c.Work < 0 || c.Delay < 0 || c.Timeout <= 0 || c.Warmup < 0 {
		return cfg, command.StatusErrorf(command.Usage, "got --work %v --delay %v --timeout %v --warmup %v, want none below 0 and a timeout above 0",
			c.Work, c.Delay, c.Timeout, c.Warmup)
	}
	return cfg, nil
}

// parseStream parses a stream of the form SERVICE:METHOD:PATH:SHARE.
func parseStream(text string) (load.Stream, error) {
	parts := strings.Split(text, ":")
	if len(parts) != streamParts || parts[0] == "" || !strings.HasPrefix(parts[2], "/") {
		return load.Stream{}, command.StatusErrorf(command.Usage, "got --stream %q, want SERVICE:METHOD:PATH:SHARE", text)
	}
	share, err := strconv.ParseFloat(parts[3], 64)
	positive := share > 0 // false for NaN
	if err != nil || !positive {
		return load.Stream{}, command.StatusErrorf(command.Usage, "got --stream %q, want a share above 0", text)
	}
	return load.Stream{Service: parts[0], Method: parts[1], Path: parts[2], Share: share}, nil
}
