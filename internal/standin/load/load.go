// Package load drives a system with calls that arrive at their own times,
// whatever the answers do, and measures how long they take.
//
// Arrivals are Poisson and seeded; each call's latency counts from its intended
// time, so that a system that stalls is charged for the calls that had to wait
// (no coordinated omission). Each call also states its working time, drawn from
// the seed, so that two runs with one seed bring the same work.
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
	// outcomeHeader is the gateway's word on what became of a call.
	outcomeHeader = "Mustardsaddle-Outcome"
	// defaultTimeout bounds a call.
	defaultTimeout = 5 * time.Second
	// defaultInFlight bounds the calls in flight; more are counted as dropped.
	defaultInFlight = 4000
	// maxBody is how much of an answer is read.
	maxBody = 1 << 30
)

// Stream is one kind of call.
type Stream struct {
	// Service names the stream in the report.
	Service string
	// Method is the method; empty for GET.
	Method string
	// Path is the path that is called.
	Path string
	// Share is the stream's share of the calls, relative to the others.
	Share float64
}

// Phase changes the rate from a time on.
type Phase struct {
	// At is the time since the start.
	At time.Duration
	// Factor multiplies the rate.
	Factor float64
}

// Config configures a run.
type Config struct {
	// Targets are the base URLs of the gateways; calls are spread at random.
	Targets []string
	// Live, if set, tells whether a target takes calls. A call whose target does
	// not goes to the next that does.
	Live func(target string) bool
	// Streams are the kinds of calls.
	Streams []Stream
	// Rate is the mean number of calls per second.
	Rate float64
	// Phases change the rate, in order of time.
	Phases []Phase
	// Warmup is the time at the start whose calls are not recorded.
	Warmup time.Duration
	// Duration is the whole time during which calls arrive.
	Duration time.Duration
	// Work is the mean working time that a call states: half of it fixed, half
	// exponential. 0 states none.
	Work time.Duration
	// Delay is the one-way delay between callers and gateways.
	Delay time.Duration
	// Timeout bounds a call.
	Timeout time.Duration
	// InFlight bounds the calls in flight.
	InFlight int
	// Seed seeds arrivals, targets and working times.
	Seed uint64
}

// withDefaults returns c with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.InFlight <= 0 {
		c.InFlight = defaultInFlight
	}
	return c
}

// check refuses a configuration that cannot run.
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

// Run makes the calls and waits for their ends. The run takes at most Duration
// and Timeout.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return Result{}, err
	}
	d := &driver{
		cfg:    cfg,
		client: newClient(cfg),
		slots:  make(chan struct{}, cfg.InFlight),
		record: newRecord(cfg.Streams),
	}
	defer d.client.CloseIdleConnections()
	begin := time.Now()
	d.arrive(ctx, begin)
	d.wait()
	return d.record.result(cfg.Duration - cfg.Warmup), nil
}

// newClient returns a client that never follows a redirection and keeps enough
// connections for all calls in flight.
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

type driver struct {
	cfg    Config
	client *http.Client
	// slots holds one token for each call in flight, which takes it out again
	// at its end.
	slots  chan struct{}
	record *record
}

// call is one planned call.
type call struct {
	stream int
	target string
	work   time.Duration
	at     time.Time
	record bool
}

// arrive starts each call at its time.
func (d *driver) arrive(ctx context.Context, begin time.Time) {
	rng := rand.New(rand.NewPCG(d.cfg.Seed, 3))
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / d.rate(at) * float64(time.Second))
		if at >= d.cfg.Duration {
			return
		}
		c := d.plan(rng, begin, at)
		if wait := time.Until(c.at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		d.start(ctx, c)
	}
}

// rate returns the calls per second at a time since the start.
func (d *driver) rate(at time.Duration) float64 {
	factor := 1.0
	for _, p := range d.cfg.Phases {
		if at >= p.At {
			factor = p.Factor
		}
	}
	return d.cfg.Rate * max(factor, 0.001)
}

// plan draws everything about a call from the seed.
func (d *driver) plan(rng *rand.Rand, begin time.Time, at time.Duration) call {
	half := float64(d.cfg.Work) / 2
	return call{
		stream: d.drawStream(rng),
		target: d.cfg.Targets[rng.IntN(len(d.cfg.Targets))],
		work:   time.Duration(half + half*rng.ExpFloat64()),
		at:     begin.Add(at),
		record: at >= d.cfg.Warmup,
	}
}

// drawStream picks a stream by the shares.
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

// start makes a call on its own goroutine, unless too many are in flight.
func (d *driver) start(ctx context.Context, c call) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.record.add(c, Dropped, 0)
		return
	}
	go func() {
		defer func() { <-d.slots }()
		ctx, cancel := context.WithDeadline(ctx, c.at.Add(d.cfg.Timeout))
		defer cancel()
		end := d.do(ctx, c)
		d.record.add(c, end, time.Since(c.at))
	}()
}

// wait returns when no call is in flight: once it holds every token itself.
func (d *driver) wait() {
	for range cap(d.slots) {
		d.slots <- struct{}{}
	}
}

// do makes a call and classifies its end.
func (d *driver) do(ctx context.Context, c call) End {
	time.Sleep(d.cfg.Delay)
	s := d.cfg.Streams[c.stream]
	url := strings.TrimSuffix(d.target(c.target), "/") + s.Path
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
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return Broken
	}
	time.Sleep(d.cfg.Delay)
	return endOf(resp)
}

// target returns the planned target if it takes calls, or else the next.
func (d *driver) target(planned string) string {
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

// endOf classifies an answer.
func endOf(resp *http.Response) End {
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
