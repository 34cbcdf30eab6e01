package main

import (
	"net/http"
	"slices"
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
		clients   = 15
		upstreams = 5
		spoiling  = 3
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
	sent := b.load(loadConfig{clients: clients, duration: duration})
	return b.checkOnce(sent, runs), nil
}

// loadConfig describes a load of bookings.
type loadConfig struct {
	// clients is the number of clients, each of which sends one request after another.
	clients  int
	duration time.Duration
}

// sentCall is a request that was sent and how it was answered.
type sentCall struct {
	id     string
	status int
	err    error
}

// load sends bookings of a number of clients to all gateways in turn, and returns them all.
func (b *bench) load(cfg loadConfig) []sentCall {
	all := make([][]sentCall, cfg.clients)
	var wg sync.WaitGroup
	end := time.Now().Add(cfg.duration)
	for i := range cfg.clients {
		wg.Go(func() {
			cl := newClient()
			for n := i; time.Now().Before(end); n++ {
				c := call{
					gateway: b.gateways[n%len(b.gateways)].front, method: http.MethodPost, host: host, path: bookingPath, id: newID(),
					body: []byte(`{"lathe": 2}`), deadline: requestTime,
				}
				status, err := cl.send(c)
				all[i] = append(all[i], sentCall{id: c.id, status: status, err: err})
			}
		})
	}
	wg.Wait()
	return slices.Concat(all...)
}

// checkOnce reports whether a booking has run twice, and records each one.
func (b *bench) checkOnce(sent []sentCall, runs *runs) bool {
	statuses := make(map[int]int)
	twice, refusedAndRan := 0, 0
	for _, s := range sent {
		statuses[s.status]++
		ran := runs.of(s.id)
		b.note("booking %s: status %d, ran at %v, error %v", s.id, s.status, ran, s.err)
		if len(ran) > 1 {
			twice++
			b.note("TWICE: booking %s was sent once by its client, answered %d, and ran at %v", s.id, s.status, ran)
		}
		if len(ran) > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) {
			refusedAndRan++
			b.note("REFUSED: booking %s was answered %d and ran at %v", s.id, s.status, ran)
		}
	}
	b.note("%d bookings; by status (0: no answer): %s", len(sent), text(statuses))
	b.note("bookings that ran more than once: %d; that ran although they were refused: %d", twice, refusedAndRan)
	return twice > 0
}
