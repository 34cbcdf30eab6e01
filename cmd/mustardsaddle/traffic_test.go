package main_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is callers that call gateways one request after another, on
// connections that they keep, until they are stopped.
type traffic struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	calls atomic.Int64
	mu    sync.Mutex
	bad   []string
	seen  map[string]int
}

// target is a gateway that callers call while it is open, as the platform's
// balancer would let them.
type target struct {
	url    string
	closed *atomic.Bool
}

func targets(gateways ...*instance) []target {
	var list []target
	for _, g := range gateways {
		list = append(list, target{url: g.url, closed: new(atomic.Bool)})
	}
	return list
}

// newTraffic starts callers; every third call is one that must not be repeated.
func newTraffic(callers int, list []target) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	f := &traffic{cancel: cancel, seen: make(map[string]int)}
	for i := range callers {
		f.group.Add(1)
		go func() {
			defer f.group.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := i; ctx.Err() == nil; n++ {
				to := list[n%len(list)]
				if to.closed.Load() {
					time.Sleep(time.Millisecond)
					continue
				}
				f.call(client, to.url, n, fmt.Sprintf("%d-%d", i, n))
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return f
}

func (f *traffic) call(client *http.Client, url string, n int, id string) {
	f.calls.Add(1)
	if n%3 > 0 {
		a := call(context.Background(), client, http.MethodGet, url+"/rosters", nil)
		f.note(a, a.ok())
		return
	}
	body := strings.Repeat(id+" ", 100)
	a := call(context.Background(), client, http.MethodPost, url+"/bookings", strings.NewReader(body))
	f.note(a, a.ok() && string(a.body) == body)
}

func (f *traffic) note(a answer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[a.header.Get("Mustardsaddle-Outcome")]++
	if !ok {
		f.bad = append(f.bad, time.Now().Format("05.000 ")+a.String())
	}
}

// failures returns the failed calls so far.
func (f *traffic) failures() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.bad...)
}

// stop ends the callers after their last call.
func (f *traffic) stop() {
	f.cancel()
	f.group.Wait()
}
