package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	host        = "ficu95.example"
	readPath    = "/lohu930/2f"
	bookingPath = "/pufi791/2f"
	desk        = "huvo11a"
	requestTime = 2 * time.Second
)

// rejectionCopied: upstreams that do not tell their load reject requests and health checks
// while they are full, and a few of their responses are followed by a late second copy. Does
// a booking run twice?
func rejectionCopied(b *bench) (bool, error) {
	const (
		upstreams = 5
		spoiling  = 3
		perSecond = 880.0
		copies    = 0.03
		// An episode of spoiled responses lasts as long as on the users' days.
		episode, calm = 5 * time.Second, time.Second
		duration      = 98 * time.Second
	)
	b.store.putConfig(config{version: 7, services: []string{desk}, routes: map[string]any{
		"r-reads": route("/lohu930/", "safe", "1500ms"), "r-books": route("/pufi791/", "unsafe", "1500ms"),
	}})
	runs := newRuns()
	var spoiled []*upstream
	for i := range upstreams {
		cfg := upstreamConfig{service: desk, copied: copies, slots: 2, queue: 2, work: 10 * time.Millisecond}
		u, err := b.startUpstream(cfg, runs)
		if err != nil {
			return false, err
		}
		if i < spoiling {
			spoiled = append(spoiled, u)
		}
	}
	if err := b.startGateways(3); err != nil {
		return false, err
	}
	if b.trouble {
		b.repeat(episode, calm, func(on bool) {
			for _, u := range spoiled {
				u.spoiled.Store(on)
			}
		})
	}
	sent := b.load(loadConfig{perSecond: perSecond, unsafe: 1, duration: duration})
	return b.checkOnce(sent, runs), nil
}

// loadConfig describes a load of reads and bookings.
type loadConfig struct {
	perSecond float64
	// unsafe is the share of bookings.
	unsafe   float64
	duration time.Duration
}

// sentCall is a request that was sent and how it was answered.
type sentCall struct {
	id     string
	unsafe bool
	status int
	err    error
}

// load sends requests at a steady rate to all gateways in turn, and returns them all.
func (b *bench) load(cfg loadConfig) []sentCall {
	var mu sync.Mutex
	var all []sentCall
	var wg sync.WaitGroup
	cl := newClient()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / cfg.perSecond))
	defer ticker.Stop()
	end := time.Now().Add(cfg.duration)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		c := call{
			gateway: b.gateways[n%len(b.gateways)].front, method: http.MethodGet, host: host, path: readPath, id: newID(), deadline: requestTime,
		}
		unsafe := float64(n%10) < cfg.unsafe*10
		if unsafe {
			c.method, c.path, c.body = http.MethodPost, bookingPath, []byte(`{"lathe": 2}`)
		}
		wg.Go(func() {
			status, err := cl.send(c)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sentCall{id: c.id, unsafe: unsafe, status: status, err: err})
		})
	}
	wg.Wait()
	return all
}

// checkOnce reports whether a booking has run twice, and records each one.
func (b *bench) checkOnce(sent []sentCall, runs *runs) bool {
	statuses := make(map[int]int)
	twice, refusedAndRan, bookings := 0, 0, 0
	for _, s := range sent {
		statuses[s.status]++
		ran := runs.of(s.id)
		b.note("request %s (booking: %v): status %d, ran at %v, error %v", s.id, s.unsafe, s.status, ran, s.err)
		if !s.unsafe {
			continue
		}
		bookings++
		if len(ran) > 1 {
			twice++
			b.note("TWICE: booking %s was sent once by its client, answered %d, and ran at %v", s.id, s.status, ran)
		}
		if len(ran) > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) {
			refusedAndRan++
			b.note("REFUSED: booking %s was answered %d and ran at %v", s.id, s.status, ran)
		}
	}
	b.note("%d requests, %d of them bookings; by status (0: no answer): %s", len(sent), bookings, text(statuses))
	b.note("bookings that ran more than once: %d; that ran although they were refused: %d", twice, refusedAndRan)
	return twice > 0
}
