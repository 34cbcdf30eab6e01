package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/standin/directory"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// arrivals records when requests reach a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// recordArrivals returns a handler that records each request before next handles it: in
// all, and in calls unless it is a load query.
func recordArrivals(all, calls *arrivals, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		all.record(now)
		if r.URL.Path != "/load" {
			calls.record(now)
		}
		next.ServeHTTP(w, r)
	})
}

func (a *arrivals) record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, now)
}

// since returns the number of requests that arrived after start.
func (a *arrivals) since(start time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, _ := slices.BinarySearchFunc(a.times, start, time.Time.Compare)
	return len(a.times) - first
}

// between returns the number of requests that arrived after start and before end.
func (a *arrivals) between(start, end time.Time) int {
	return a.since(start) - a.since(end)
}

// most returns the largest number of requests in any window that begins after start.
func (a *arrivals) most(start time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for a.times[first].Before(start) && first < i || at.Sub(a.times[first]) >= window {
			first++
		}
		if !at.Before(start) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// callers sends GET requests to all gateways at a fixed rate each, until stop is called.
type callers struct {
	calls, failures atomic.Int64
	cancel          context.CancelFunc
	wg              sync.WaitGroup
}

func startCallers(t *testing.T, gateways []*runningGateway, interval time.Duration) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{cancel: cancel}
	for _, g := range gateways {
		c.wg.Go(func() {
			for ctx.Err() == nil {
				c.calls.Add(1)
				if status, _ := get(t, "http://"+g.addresses.Callers+"/rosters"); status != http.StatusOK {
					c.failures.Add(1)
				}
				time.Sleep(interval)
			}
		})
	}
	t.Cleanup(c.stop)
	return c
}

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

// newObservedCluster starts gateways with load queries and servers, of which the requests
// to the first one, booking-01, are recorded.
func newObservedCluster(t *testing.T, gateways, servers int, all, calls *arrivals) (*cluster, *server.Server) {
	t.Helper()
	s := newCluster(t, 0)
	s.directory = directory.New()
	s.directory.PutRules(mustardsaddle.RulesText{Generation: 1, Text: initialRules})
	s.configure = func(cfg *settings.Settings) {
		cfg.Choice.Policy = settings.PolicySurvey
		cfg.Measuring.MessagesPerSecond, cfg.Measuring.BytesPerSecond, cfg.Measuring.ServerPerSecond = 1000, 1<<20, 100
	}
	e := server.New(server.Config{Name: "booking-01", Slots: 2, Queue: 2, Work: time.Millisecond})
	s.startServer("booking-01", recordArrivals(all, calls, e.Handler()))
	for i := range servers - 1 {
		s.addServer(fmt.Sprintf("booking-%02d", i+2))
	}
	for i := range gateways {
		s.addGateway(fmt.Sprintf("gateway-%02d", i+1))
	}
	for _, g := range s.gateways {
		eventually(t, waitTimeout, "ready: "+g.name, func() bool { return g.ready(t) })
	}
	return s, e
}

// TestServerLimitHoldsOverFleet guards against a server that limits its requests getting
// more of them from all gateways together than the limit allows, and against such a
// server getting none, or no more than before once it has withdrawn the limit.
func TestServerLimitHoldsOverFleet(t *testing.T) {
	const (
		gateways     = 13
		servers      = 4
		callInterval = 40 * time.Millisecond
		perSecond    = 1.0
		// notice is the time after which every gateway must keep to a new limit.
		notice = 500 * time.Millisecond
		window = 4 * time.Second
		// allowed is one and a half times the limit, and 5 requests more.
		allowed = 11
		limited = 7 * time.Second
		minUse  = 3
		// metricsDelay covers notice and the interval at which the metrics page is updated.
		metricsDelay = 2 * time.Second
	)
	var all, calls arrivals
	s, e := newObservedCluster(t, gateways, servers, &all, &calls)
	c := startCallers(t, s.gateways, callInterval)
	eventually(t, waitTimeout, "server is used", func() bool { return calls.since(time.Time{}) > 0 })

	limit := perSecond
	e.SetMode(server.Mode{Limit: &limit})
	named := time.Now()
	for _, g := range s.gateways {
		eventually(t, metricsDelay, "limit known: "+g.name, func() bool {
			_, page := get(t, "http://"+g.addresses.Admin+"/metrics")
			return strings.Contains(page, "Mustardsaddle_ServersLimited 1")
		})
	}
	time.Sleep(time.Until(named.Add(limited)))
	if n := calls.most(named.Add(notice), window); n > allowed {
		t.Errorf("limited server: got %d requests in %s, want at most %d", n, window, allowed)
	}
	if n := all.most(named.Add(notice), window); n > allowed {
		t.Errorf("limited server: got %d requests and load queries in %s, want at most %d", n, window, allowed)
	}
	if n := calls.since(named.Add(notice)); n < minUse {
		t.Errorf("limited server: got %d requests in %s, want at least %d", n, limited-notice, minUse)
	}

	e.SetMode(server.Mode{})
	eventually(t, waitTimeout, "server is used by all gateways again", func() bool {
		return calls.since(time.Now().Add(-time.Second)) > 2*gateways
	})
	c.stop()
	if failed := c.failures.Load(); failed > 0 {
		t.Errorf("got %d calls of %d that were not answered with 200, want 0", failed, c.calls.Load())
	}
}

// TestLimitedServersAreUsed guards against gateways refusing calls because they hold no share
// of the limits of a service's servers, while holders have tokens left.
func TestLimitedServersAreUsed(t *testing.T) {
	const (
		gateways     = 13
		servers      = 4
		callInterval = 20 * time.Millisecond
		callersInAll = 26
		perSecond    = 2.0
		// settled is the time after which all gateways keep to a new limit.
		settled  = 3 * time.Second
		observed = 8 * time.Second
		window   = 4 * time.Second
		// allowed is one and a half times the limit in a window, and 5 requests more.
		allowed = 17
		// minUse is nine tenths of what the limits of all servers allow.
		minUse = 57
	)
	for _, called := range []int{gateways, 2} {
		t.Run(fmt.Sprintf("calls at %d gateways", called), func(t *testing.T) {
			var all, calls arrivals
			s, first := newObservedCluster(t, gateways, servers, &all, &calls)
			c := startCallers(t, slices.Repeat(s.gateways[:called], callersInAll/called), callInterval)
			eventually(t, waitTimeout, "server is used", func() bool { return calls.since(time.Time{}) > 0 })
			limit := perSecond
			for _, e := range append(s.servers, first) {
				e.SetMode(server.Mode{Limit: &limit})
			}
			time.Sleep(settled)
			start, before := time.Now(), s.executions()+first.Count().Total
			time.Sleep(observed)
			used := s.executions() + first.Count().Total - before
			c.stop()
			if used < minUse {
				t.Errorf("limited servers: got %d requests in %s, want at least %d", used, observed, minUse)
			}
			if n := calls.most(start, window); n > allowed {
				t.Errorf("limited server: got %d requests in %s, want at most %d", n, window, allowed)
			}
		})
	}
}
