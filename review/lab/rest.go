package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// planBytes is the size of a plan, and planClients the number of clients that download plans.
	planBytes   = 90000
	planClients = 8
	// brokenUpstreams is the number of upstreams, of planUpstreams, that break off brokenPart of their
	// answers, and brokenFor how long they do.
	planUpstreams   = 6
	brokenUpstreams = 2
	brokenPart      = 0.02
	brokenFor       = 5500 * time.Millisecond
	brokenPause     = 5 * time.Second
	brokenRounds    = 4
)

// downloadWhileBreaking plays clients that download plans by a selection which they send as a body in
// chunks, while a part of the upstreams break off a few of their answers. No upstream may run a
// request with another body.
func downloadWhileBreaking(l *lab) error {
	var breaking atomic.Bool
	var count atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request) {
		faulty := r.Header.Get(headerTarget) < upstreamID(brokenUpstreams)
		plan(w, r, faulty && breaking.Load() && rand.Float64() < brokenPart, &count)
	}
	if err := l.addUpstreams(planUpstreams, 2, &upstream{work: 10 * time.Millisecond, answer: answer}); err != nil {
		return err
	}
	if err := l.begin(map[string]any{"plans": route("/plans/", "download")}); err != nil {
		return err
	}
	end := time.Now().Add(brokenRounds * (brokenFor + brokenPause))
	go func() {
		for l.sleep(brokenPause) {
			breaking.Store(l.trouble)
			l.rec.note("upstreams break off a few of their answers: %v", l.trouble)
			l.sleep(brokenFor)
			breaking.Store(false)
			l.rec.note("upstreams answer as usual")
		}
	}()
	var wg sync.WaitGroup
	var changed atomic.Int64
	for i := range planClients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				q := request{
					id: fmt.Sprintf("plan-%d-%d", i, k), method: http.MethodGet, path: "/plans/lathe", host: host,
					body: fmt.Sprintf("pages 1 to %d of copy %d", k, i), chunked: true, deadline: time.Second,
				}
				l.exchange(i, q)
				changed.Add(int64(l.countChanged(q)))
			}
		})
	}
	wg.Wait()
	l.rec.note("answers that were broken off: %d; requests that upstreams ran with another body: %d", count.Load(), changed.Load())
	if n := changed.Load(); n > 0 {
		return fmt.Errorf("UNASKED: upstreams ran %d requests with a changed body: %w", n, errBroken)
	}
	return nil
}

// plan sends a plan, or the rest of it if only that is asked for. A broken answer ends half-way.
func plan(w http.ResponseWriter, r *http.Request, broken bool, count *atomic.Int64) {
	const etag = `"plan-7"`
	text := strings.Repeat("0123456789", planBytes/10)
	h := w.Header()
	h.Set("Etag", etag)
	status := http.StatusOK
	if first, ok := strings.CutPrefix(r.Header.Get("Range"), "bytes="); ok && r.Header.Get("If-Range") == etag {
		if n, err := strconv.Atoi(strings.TrimSuffix(first, "-")); err == nil && n < len(text) {
			h.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", n, len(text)-1, len(text)))
			text, status = text[n:], http.StatusPartialContent
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if !broken {
		_, _ = io.WriteString(w, text)
		return
	}
	count.Add(1)
	_, _ = io.WriteString(w, text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
