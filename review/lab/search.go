package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// searchClients is the number of clients, which send one request after another.
	searchClients = 48
	// shedShare is the part of the requests that the upstreams reject, shedFor how long they do, and
	// shedPause the pause before they do it again.
	shedShare  = 0.55
	shedFor    = 8500 * time.Millisecond
	shedPause  = 5 * time.Second
	shedRounds = 3
)

// searchWhileShedding plays clients whose idempotent requests have bodies in chunks, while all
// upstreams reject a part of their requests. No upstream may run a request with another body.
func searchWhileShedding(l *lab) error {
	var shedding atomic.Bool
	shed := func() bool { return shedding.Load() && rand.Float64() < shedShare }
	if err := l.addUpstreams(6, 2, &upstream{work: 10 * time.Millisecond, shed: shed}); err != nil {
		return err
	}
	if err := l.begin(map[string]any{"search": route("/rosters/", "safe")}); err != nil {
		return err
	}
	end := time.Now().Add(shedRounds * (shedFor + shedPause))
	go func() {
		for l.sleep(shedPause) {
			shedding.Store(l.trouble)
			l.rec.note("upstreams reject a part of their requests: %v", l.trouble)
			l.sleep(shedFor)
			shedding.Store(false)
			l.rec.note("upstreams take their requests again")
		}
	}()
	var wg sync.WaitGroup
	var changed atomic.Int64
	for i := range searchClients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				q := request{
					id: fmt.Sprintf("search-%d-%d", i, k), method: "SEARCH", path: "/rosters/tools", host: host,
					body: fmt.Sprintf("lathe %d, week %d", i, k), chunked: true, deadline: time.Second,
				}
				l.exchange(i, q)
				changed.Add(int64(l.countChanged(q)))
			}
		})
	}
	wg.Wait()
	l.rec.note("requests that upstreams ran with another body: %d", changed.Load())
	if n := changed.Load(); n > 0 {
		return fmt.Errorf("UNASKED: upstreams ran %d requests with a changed body: %w", n, errBroken)
	}
	return nil
}

// countChanged returns how often a request was run with another method, target or body than sent.
func (l *lab) countChanged(q request) int {
	n := 0
	for _, one := range l.runs.of(q.id) {
		if one.method != q.method || one.target != q.path || one.body != digest([]byte(q.body)) {
			l.rec.note("CHANGED: %s ran at %s as %s %s, not with the body that was sent, %q", q.id, one.upstream, one.method, one.target, q.body)
			n++
		}
	}
	return n
}

// exchange sends a request on the connection that client i keeps, and opens another one if it has none.
func (l *lab) exchange(i int, q request) answer {
	c, err := l.connection(i)
	if err != nil {
		l.rec.note("client cannot connect: %v", err)
		time.Sleep(connectPause)
		return answer{err: err}
	}
	a := c.send(l.rec, q)
	if a.err != nil || a.header.Get("Connection") == "close" {
		l.drop(i)
	}
	if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
		time.Sleep(refusedPause)
	}
	return a
}

const (
	connectPause = 50 * time.Millisecond
	refusedPause = 20 * time.Millisecond
)
