// Package load is an open-loop load generator: calls arrive at scheduled times,
// independently of the responses, and their latencies are measured.
//
// Arrivals are a Poisson process drawn from a seed. The latency of a call
// counts from its scheduled time, so that a stall of the system is charged to
// the calls that had to wait (no coordinated omission). Each call also states
// its service time, drawn from the same seed, so that runs with equal seeds
// generate equal work.
//
// # Usage
//
//	result, err := load.Run(ctx, load.Config{
//		Targets:  []string{"http://127.0.0.1:8080"},
//		Streams:  []load.Stream{{Service: "Booking", Path: "/Booking/rosters", Share: 1}},
//		Rate:     500,
//		Duration: 10 * time.Second,
//		Work:     20 * time.Millisecond,
//	})
//	fmt.Print(result.Text())
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// outcomeHeader is the response header in which the gateway states the
	// outcome.
	outcomeHeader = "Mustardsaddle-Outcome"
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = 5 * time.Second
	// defaultInFlight is the default of Config.InFlight.
	defaultInFlight = 4000
	// maxBodyBytes is the maximum number of bytes read from a response body.
	maxBodyBytes = 1 << 30
)

// Stream is a kind of call.
type Stream struct {
	// Service names the stream in the result.
	Service string
	// Method is the HTTP method; empty for GET.
	Method string
	// Path is the URL path.
	Path string
	// Share is the weight of the stream, relative to the others.
	Share float64
}

// Phase changes the call rate from a given time on.
type Phase struct {
	// At is the time since the start of the run.
	At time.Duration
	// Factor multiplies Config.Rate.
	Factor float64
}

// Config configures a run.
type Config struct {
	// Targets are the base URLs of the gateways. Each call goes to a random one.
	Targets []string
	// Live, if set, reports whether a target accepts calls. A call to a target
	// that does not is sent to the next one that does.
	Live func(target string) bool
	// Streams are the kinds of calls.
	Streams []Stream
	// Rate is the mean number of calls per second.
	Rate float64
	// Phases change the rate, in order of time.
	Phases []Phase
	// Warmup is the initial time whose calls are not recorded.
	Warmup time.Duration
	// Duration is the total time during which calls arrive, including Warmup.
	Duration time.Duration
	// Work is the mean service time that calls state: one half fixed, the other
	// exponentially distributed. If it is 0, calls state none.
	Work time.Duration
	// Delay is the simulated one-way latency between callers and gateways.
	Delay time.Duration
	// Timeout bounds each call, from its scheduled time; 0 means 5 s.
	Timeout time.Duration
	// InFlight is the maximum number of calls in flight; more are counted as
	// Dropped. 0 means 4000.
	InFlight int
	// Seed seeds the arrivals, streams, targets and service times.
	Seed uint64
}

// withDefaults returns c with zero values replaced by defaults.
func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.InFlight <= 0 {
		c.InFlight = defaultInFlight
	}
	return c
}

// check returns an error if the configuration is invalid.
func (c Config) check() error {
	switch {
	case len(c.Targets) == 0:
		return code.Errorf(code.SettingsBadValue, "load: got no targets, want at least one")
	case len(c.Streams) == 0:
		return code.Errorf(code.SettingsBadValue, "load: got no streams, want at least one")
	case c.Rate <= 0:
		return code.Errorf(code.SettingsBadValue, "load: got rate %g, want more than 0", c.Rate)
	case c.Duration <= c.Warmup:
		return code.Errorf(code.SettingsBadValue, "load: got duration %v, want more than the warmup %v", c.Duration, c.Warmup)
	}
	return nil
}

// Run generates the calls and waits until all have ended. It takes at most
// Duration plus Timeout and Delay. If the context ends early, Run starts no more
// calls, cancels those in flight, which then count as Broken, and returns the
// result without an error. Rates still refer to the whole Duration.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return Result{}, err
	}
	d := &driver{
		cfg:      cfg,
		client:   newClient(cfg),
		inFlight: make(chan struct{}, cfg.InFlight),
		recorder: newRecorder(cfg.Streams),
	}
	defer d.client.CloseIdleConnections()
	start := time.Now()
	d.startCalls(ctx, start)
	d.waitForCalls()
	return d.recorder.result(cfg.Duration - cfg.Warmup), nil
}

// newClient returns a client that does not follow redirects and keeps an idle
// connection for each call in flight.
func newClient(cfg Config) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.InFlight,
			DisableCompression:  true,
			IdleConnTimeout:     cfg.Timeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// driver generates the calls of one run.
type driver struct {
	cfg    Config
	client *http.Client
	// inFlight is a semaphore that holds one token for each call in flight.
	inFlight chan struct{}
	recorder *recorder
}

// call is one scheduled call.
type call struct {
	// stream is the index of the call's stream.
	stream int
	target string
	// work is the service time that the call states.
	work time.Duration
	// intendedAt is the scheduled time of the call.
	intendedAt time.Time
	// recorded is false for calls of the warmup.
	recorded bool
}

// startCalls starts each call at its scheduled time.
func (d *driver) startCalls(ctx context.Context, start time.Time) {
	rng := rand.New(rand.NewPCG(d.cfg.Seed, 3))
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / d.rate(at) * float64(time.Second))
		if at >= d.cfg.Duration {
			return
		}
		c := d.drawCall(rng, start, at)
		if wait := time.Until(c.intendedAt); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		d.startCall(ctx, c)
	}
}

// rate returns the call rate, in calls per second, at a time since the start.
// Factors below 0.001 count as 0.001, so that the time to the next call is finite.
func (d *driver) rate(at time.Duration) float64 {
	factor := 1.0
	for _, p := range d.cfg.Phases {
		if at >= p.At {
			factor = p.Factor
		}
	}
	return d.cfg.Rate * max(factor, 0.001)
}

// drawCall draws the stream, target and service time of a call.
func (d *driver) drawCall(rng *rand.Rand, start time.Time, at time.Duration) call {
	half := float64(d.cfg.Work) / 2
	return call{
		stream:     d.drawStream(rng),
		target:     d.cfg.Targets[rng.IntN(len(d.cfg.Targets))],
		work:       time.Duration(half + half*rng.ExpFloat64()),
		intendedAt: start.Add(at),
		recorded:   at >= d.cfg.Warmup,
	}
}

// drawStream draws a stream, weighted by the shares.
func (d *driver) drawStream(rng *rand.Rand) int {
	total := 0.0
	for _, s := range d.cfg.Streams {
		total += s.Share
	}
	x := rng.Float64() * total
	for i, s := range d.cfg.Streams {
		x -= s.Share
		if x < 0 {
			return i
		}
	}
	return len(d.cfg.Streams) - 1
}

// startCall runs a call on a new goroutine, or drops it if too many are in
// flight.
func (d *driver) startCall(ctx context.Context, c call) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.recorder.add(c, Dropped, 0)
		return
	}
	go func() {
		defer func() { <-d.inFlight }()
		ctx, cancel := context.WithDeadline(ctx, c.intendedAt.Add(d.cfg.Timeout))
		defer cancel()
		end := d.doCall(ctx, c)
		d.recorder.add(c, end, time.Since(c.intendedAt))
	}()
}

// waitForCalls waits until no call is in flight, by acquiring all tokens of the
// semaphore.
func (d *driver) waitForCalls() {
	for range cap(d.inFlight) {
		d.inFlight <- struct{}{}
	}
}

// doCall sends a request and classifies the result.
func (d *driver) doCall(ctx context.Context, c call) End {
	time.Sleep(d.cfg.Delay)
	s := d.cfg.Streams[c.stream]
	url := strings.TrimSuffix(d.liveTarget(c.target), "/") + s.Path
	if c.work > 0 {
		url += "?Work=" + c.work.String()
	}
	r, err := http.NewRequestWithContext(ctx, s.Method, url, http.NoBody)
	if err != nil {
		return Broken
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return Broken
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return Broken
	}
	time.Sleep(d.cfg.Delay)
	return classify(resp)
}

// liveTarget returns the planned target if it accepts calls, else the next one
// that does. If none does, it returns the planned target.
func (d *driver) liveTarget(planned string) string {
	if d.cfg.Live == nil {
		return planned
	}
	first := slices.Index(d.cfg.Targets, planned)
	for i := range d.cfg.Targets {
		if next := d.cfg.Targets[(first+i)%len(d.cfg.Targets)]; d.cfg.Live(next) {
			return next
		}
	}
	return planned
}

// classify returns the end of a call that got a complete response.
func classify(resp *http.Response) End {
	switch {
	case resp.StatusCode < http.StatusBadRequest:
		return Ran
	case resp.Header.Get(outcomeHeader) == "NotRun":
		return NotRun
	case resp.Header.Get(outcomeHeader) == "Unknown":
		return Unknown
	default:
		return Failed
	}
}
