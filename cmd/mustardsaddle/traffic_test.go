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

// traffic is a group of concurrent callers. Each sends one request after
// another on keep-alive connections until it is stopped.
type traffic struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	calls    atomic.Int64
	mu       sync.Mutex
	failed   []string
	outcomes map[string]int
}

// target is a gateway that receives calls until closed is set, as if the
// platform's load balancer took it out of rotation.
type target struct {
	url    string
	closed *atomic.Bool
}

func targets(gateways ...*gateway) []target {
	var list []target
	for _, g := range gateways {
		list = append(list, target{url: g.url, closed: new(atomic.Bool)})
	}
	return list
}

// newTraffic starts callers. Every third call must not be repeated.
func newTraffic(callers int, list []target) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel, outcomes: make(map[string]int)}
	for i := range callers {
		tr.group.Add(1)
		go func() {
			defer tr.group.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := i; ctx.Err() == nil; n++ {
				to := list[n%len(list)]
				if to.closed.Load() {
					time.Sleep(time.Millisecond)
					continue
				}
				tr.sendNext(client, to.url, n, fmt.Sprintf("%d-%d", i, n))
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return tr
}

// sendNext sends call n of a caller and records its result.
func (tr *traffic) sendNext(client *http.Client, url string, n int, id string) {
	tr.calls.Add(1)
	if n%3 > 0 {
		resp := sendRequest(context.Background(), client, http.MethodGet, url+"/rosters", nil)
		tr.record(resp, resp.ok())
		return
	}
	body := strings.Repeat(id+" ", 100)
	resp := sendRequest(context.Background(), client, http.MethodPost, url+"/bookings", strings.NewReader(body))
	tr.record(resp, resp.ok() && string(resp.body) == body)
}

func (tr *traffic) record(resp response, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.outcomes[resp.header.Get("Mustardsaddle-Outcome")]++
	if !ok {
		tr.failed = append(tr.failed, time.Now().Format("05.000 ")+resp.String())
	}
}

// failures returns descriptions of the calls that have failed so far.
func (tr *traffic) failures() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]string(nil), tr.failed...)
}

// stop stops the callers and waits for their last calls.
func (tr *traffic) stop() {
	tr.cancel()
	tr.group.Wait()
}
