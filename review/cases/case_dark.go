package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

// darkUpload: an upstream reads no body of some uploads and never answers them. Are they
// answered once the timeout of their route has passed?
func darkUpload(b *bench) (bool, error) {
	const (
		upstreams     = 28
		spoiled       = 4
		hung          = 0.45
		episode, calm = 6500 * time.Millisecond, 3500 * time.Millisecond
		uploads       = 1600
		uploadEvery   = 50 * time.Millisecond
		photoBytes    = 2_000_000
		timeout       = 800 * time.Millisecond
		late          = 500 * time.Millisecond
		deadline      = 4 * time.Second
		// allowed is the number of requests that may have no final answer in time.
		allowed = 8
	)
	runs := newRuns()
	for i := range upstreams {
		u, err := b.startUpstream(upstreamConfig{service: desk, slots: 3, queue: 2, work: 80 * time.Millisecond, tellsLoad: true, hung: hung}, runs)
		if err != nil {
			return false, err
		}
		if i < spoiled && b.trouble {
			b.repeat(episode, calm, u.spoiled.Store)
		}
	}
	b.store.putConfig(config{version: 7, services: []string{desk}, routes: map[string]any{
		"r-photos": route("/verge11/", "upload", "800ms"),
	}})
	if err := b.startGateways(5); err != nil {
		return false, err
	}
	body, cl := bytes.Repeat([]byte("p"), photoBytes), newClient()
	var mu sync.Mutex
	var wg sync.WaitGroup
	long, unanswered, statuses := 0, 0, make(map[int]int)
	for i := range uploads {
		c := call{
			gateway: b.gateways[i%len(b.gateways)].front, method: http.MethodPost, host: host, path: "/verge11/2f", id: newID(),
			body: body, deadline: deadline,
		}
		wg.Go(func() {
			begun := time.Now()
			status, err := cl.send(c)
			took := time.Since(begun)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			b.note("upload %s: status %d after %v, ran at %v, error %v", c.id, status, took.Round(time.Millisecond), runs.of(c.id), err)
			if took > timeout {
				long++
			}
			if took > timeout+late {
				unanswered++
			}
		})
		time.Sleep(uploadEvery)
	}
	wg.Wait()
	b.note("%d uploads, by status (0: none until the client's deadline): %s", uploads, text(statuses))
	b.note("uploads that lasted longer than the timeout of their route: %d; of them without a final answer %v after it: %d", long, late, unanswered)
	return unanswered >= allowed && 4*unanswered > long, nil
}
