package instance_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

const (
	// cutNotice is the time after which the callers of gateways that are cut off from the
	// servers must be served like others.
	cutNotice = 3 * time.Second
	// cutObserved is how long they are observed from then on.
	cutObserved = 2 * time.Second
	// minServedRatio is the least ratio of the shares of calls that are served at gateways
	// that are cut off, and at others.
	minServedRatio = 0.9
)

// servedShare returns the share of the calls that were answered with 200 from the time of
// the call until d later.
func (c *callers) servedShare(d time.Duration) float64 {
	calls, failures := c.calls.Load(), c.failures.Load()
	time.Sleep(d)
	calls, failures = c.calls.Load()-calls, c.failures.Load()-failures
	return 1 - float64(failures)/float64(max(calls, 1))
}

// TestCallersOfGatewaysCutFromServersAreServed guards against callers of gateways that have
// lost their connections to all servers being refused, while other gateways reach the
// servers.
func TestCallersOfGatewaysCutFromServersAreServed(t *testing.T) {
	const (
		gateways     = 13
		servers      = 8
		callInterval = 40 * time.Millisecond
	)
	tests := []struct {
		name string
		cut  relay.Cut
		n    int
	}{
		{"one of 13 hangs", relay.Hang, 1},
		{"8 of 13 hang", relay.Hang, 8},
		{"8 of 13 are reset and refused", relay.ResetAndRefuse, 8},
		{"12 of 13 are reset and hang", relay.ResetAndHang, 12},
		{"5 of 13 are refused new connections", relay.Refuse, 5},
	}
	var all, calls arrivals
	s, _ := newObservedCluster(t, gateways, servers, &all, &calls)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cut, others := startCallers(t, s.gateways[:tt.n], callInterval), startCallers(t, s.gateways[tt.n:], callInterval)
			time.Sleep(time.Second)
			for _, g := range s.gateways[:tt.n] {
				g.dialer.SetCut(tt.cut)
			}
			time.Sleep(cutNotice)
			othersServed := make(chan float64, 1)
			go func() { othersServed <- others.servedShare(cutObserved) }()
			got, want := cut.servedShare(cutObserved), <-othersServed
			for _, g := range s.gateways[:tt.n] {
				g.dialer.SetCut(relay.NoCut)
			}
			cut.stop()
			others.stop()
			if want < minServedRatio {
				t.Errorf("gateways that are not cut off: served %.2f of the calls, want at least %.2f", want, minServedRatio)
			}
			if got < minServedRatio*want {
				t.Errorf("gateways that are cut off: served %.2f of the calls, others %.2f, want at least %.2f of that", got, want, minServedRatio)
			}
		})
	}
}

// TestUploadsOfGatewaysThatCannotOpenConnectionsAreServed guards against requests that need
// a new connection being refused by a gateway whose open connections to the servers still
// work, while other gateways can open connections.
func TestUploadsOfGatewaysThatCannotOpenConnectionsAreServed(t *testing.T) {
	const (
		gateways     = 5
		servers      = 8
		callInterval = 40 * time.Millisecond
		uploads      = 50
	)
	var all, calls arrivals
	s, first := newObservedCluster(t, gateways, servers, &all, &calls)
	executions := func() int64 { return s.executions() + first.Count().Total }
	cut := s.gateways[0]
	reads := startCallers(t, s.gateways[:1], callInterval)
	time.Sleep(time.Second)
	cut.dialer.SetCut(relay.Refuse)
	time.Sleep(cutNotice)
	before, served := executions(), 0
	for range uploads {
		if upload(t, "http://"+cut.addresses.Callers+"/bookings") == http.StatusOK {
			served++
		}
	}
	reads.stop()
	cut.dialer.SetCut(relay.NoCut)
	if served < uploads*9/10 {
		t.Errorf("got %d uploads of %d that were answered with 200, want at least %d", served, uploads, uploads*9/10)
	}
	if executed := executions() - before; executed < int64(served) {
		t.Errorf("servers executed %d requests, want at least the %d uploads that were answered", executed, served)
	}
}

// upload sends a POST request with a body of unknown length and returns the status of the
// response, or 0.
func upload(t *testing.T, url string) int {
	t.Helper()
	resp, err := newClient().Post(url, "text/plain", io.MultiReader(strings.NewReader("Lathe=2")))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestStoppingGatewayFinishesCallsOfOthers guards against a planned stop cutting off calls
// that the stopping gateway carries for others.
func TestStoppingGatewayFinishesCallsOfOthers(t *testing.T) {
	s := newCluster(t, 0)
	e := server.New(server.Config{Name: "booking-01", Slots: 64, Queue: 2})
	s.servers = append(s.servers, e)
	s.startServer("booking-01", e.Handler())
	gateways := s.startReady("gateway-1", "gateway-2")
	cut, carrier := gateways[0], gateways[1]
	cut.dialer.SetCut(relay.ResetAndRefuse)
	post := func(work string) int {
		resp, err := newClient().Post("http://"+cut.addresses.Callers+"/bookings?Work="+work, "text/plain", strings.NewReader("Lathe=2"))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	eventually(t, waitTimeout, "calls go through the other gateway", func() bool { return post("1ms") == http.StatusOK })
	before := e.Count().Total
	statuses := make(chan int, 2) // one for each slot of the server
	for range cap(statuses) {
		go func() { statuses <- post("4s") }()
	}
	eventually(t, waitTimeout, "calls are in progress", func() bool { return carrier.inFlight(t) >= cap(statuses) })
	carrier.stop()
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("got status %d of a call in progress, want 200", status)
		}
	}
	if err := carrier.wait(); err != nil {
		t.Error(err)
	}
	if n := e.Count().Total - before; n != int64(cap(statuses)) {
		t.Errorf("got %d executions, want %d", n, cap(statuses))
	}
}

// inFlight returns the number of calls in progress that a gateway shows.
func (g *runningGateway) inFlight(t *testing.T) int {
	_, page := get(t, "http://"+g.addresses.Admin+"/metrics")
	for line := range strings.Lines(page) {
		if value, ok := strings.CutPrefix(line, "Mustardsaddle_InFlight "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}
