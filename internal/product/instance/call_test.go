package instance_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// A tenfold increase of calls must not raise the number of probes and load queries above
// the configured rate. The servers count both as probes.
func TestSurgeKeepsProbeBudget(t *testing.T) {
	const (
		rate    = 10.0 // probes per second of each gateway
		burst   = 0.25 // seconds for which unused probe tokens accumulate
		normal  = 100  // calls
		surge   = 10 * normal
		callers = 20
		minTime = 3 * time.Second
	)
	s := newCluster(t, 3)
	s.configure = func(cfg *settings.Settings) {
		cfg.Measuring.MessagesPerSecond, cfg.Measuring.ServerPerSecond = rate, 1000
	}
	start := time.Now()
	gateways := s.startReady("gateway-1", "gateway-2")
	call := func(i int) { get(t, "http://"+gateways[i%2].addresses.Callers+"/rosters") }
	for i := range normal {
		call(i)
	}
	var group sync.WaitGroup
	var calls atomic.Int64
	for range callers {
		group.Go(func() {
			for calls.Load() < surge || time.Since(start) < minTime {
				call(int(calls.Add(1)))
			}
		})
	}
	group.Wait()
	probes := int64(0)
	for _, e := range s.servers {
		probes += e.Count().Probes
	}
	seconds := time.Since(start).Seconds()
	limit := float64(len(gateways)) * rate * (seconds + burst)
	t.Logf("%d calls, %d probes in %.1f s, limit %.0f", normal+calls.Load(), probes, seconds, limit)
	if float64(probes) > limit {
		t.Errorf("got %d probes in %.1f s, want at most %.0f", probes, seconds, limit)
	}
	if probes == 0 {
		t.Error("got no probes, want some")
	}
}

// A graceful stop with queued calls and hedges in flight aborts none of them: each
// caller receives a complete response.
func TestStopWithQueuedAndHedgedCalls(t *testing.T) {
	const (
		first   = 2  // calls that get a hedge
		callers = 24 // later calls, more than the servers have slots for
		rule    = "Path=/held Service=Booking Deadline=15s # Mei Lin: members wait\n"
	)
	s := newCluster(t, 0)
	s.configure = func(cfg *settings.Settings) { cfg.Retry.HedgeShare, cfg.Retry.RetryShare = 1, 1 }
	release := make(chan struct{})
	var arrived atomic.Int64
	for i := range 3 {
		s.startServer(fmt.Sprintf("booking-%02d", i), blockingHandler(release, &arrived))
	}
	s.submit(initialRules + rule)
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	url := "http://" + g.addresses.Callers
	for range 100 {
		get(t, url+"/rosters")
	}
	results := make(chan error, first+callers)
	for range first {
		go func() { results <- checkResponse(url + "/held") }()
	}
	eventually(t, waitTimeout, "hedge in flight", func() bool { return arrived.Load() > first })
	for range callers {
		go func() { results <- checkResponse(url + "/held") }()
	}
	inFlight := fmt.Sprintf("Mustardsaddle_InFlight %d\n", cap(results))
	eventually(t, waitTimeout, "calls in flight", func() bool {
		_, text := get(t, "http://"+g.addresses.Admin+"/metrics")
		return strings.Contains(text, inFlight)
	})
	if n := arrived.Load(); n >= int64(cap(results)) {
		t.Fatalf("got %d attempts, want fewer than the %d calls, with the rest queued", n, cap(results))
	}
	g.stop()
	eventually(t, waitTimeout, "listener closed after the lag", func() bool {
		c, err := net.Dial("tcp", g.addresses.Callers)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(release)
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if err := g.wait(); err != nil {
		t.Errorf("graceful stop: got error %v, want none", err)
	}
}

// If a server dies during a graceful stop, idempotent calls on it are retried on
// another server, so that every caller still receives a complete response.
func TestStopWhileAServerDies(t *testing.T) {
	const callers = 6
	s := newCluster(t, 0)
	s.configure = func(cfg *settings.Settings) {
		cfg.Retry.HedgeShare, cfg.Retry.RetryShare = 0, 1
		cfg.Stop.Lag = time.Second
	}
	release := make(chan struct{})
	var arrived [3]atomic.Int64
	for i := range arrived {
		s.startServer(fmt.Sprintf("booking-%02d", i), blockingHandler(release, &arrived[i]))
	}
	s.submit(initialRules + "Path=/held Service=Booking Deadline=15s # Mei Lin: members wait\n")
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	url := "http://" + g.addresses.Callers
	for range 100 {
		get(t, url+"/rosters")
	}
	results := make(chan error, callers)
	for range callers {
		go func() { results <- checkResponse(url + "/held") }()
	}
	total := func() int64 { return arrived[0].Load() + arrived[1].Load() + arrived[2].Load() }
	eventually(t, waitTimeout, "all calls have reached servers", func() bool { return total() == callers })
	victim := 0
	for arrived[victim].Load() == 0 {
		victim++
	}
	g.stop()
	eventually(t, waitTimeout, "gateway not ready while it stops", func() bool { return !g.ready(t) })
	s.killServer(victim)
	eventually(t, waitTimeout, "retries have reached other servers", func() bool { return total() > callers })
	close(release)
	for range callers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if err := g.wait(); err != nil {
		t.Errorf("graceful stop: got error %v, want none", err)
	}
}

// blockingHandler returns the handler of an endpoint server that counts the requests
// for /held and blocks them until release is closed.
func blockingHandler(release <-chan struct{}, arrived *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(report.Header, report.Format(0, 2, false))
		if r.URL.Path == "/held" {
			arrived.Add(1)
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, completeBody)
	})
}

// completeBody is the response body of the handler that blockingHandler returns.
var completeBody = strings.Repeat("whole ", 1000)

// checkResponse sends a request on a new connection, and returns an error unless the
// response is complete.
func checkResponse(url string) error {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != completeBody {
		return fmt.Errorf("got status %d, body %.60q, error %v, want 200 and a complete response", resp.StatusCode, body, err)
	}
	return nil
}

// A response body that stalls is cut off so that the caller sees an error, or replaced
// by an error response if none of it has been forwarded yet. A body that is only slow
// arrives complete even if it takes longer than the deadline.
func TestStalledBody(t *testing.T) {
	const steps, part = 30, 8 << 10
	s := newCluster(t, 0)
	s.configure = func(cfg *settings.Settings) { cfg.Limits.Progress = time.Second }
	s.startServer("booking-00", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(report.Header, report.Format(0, 2, false))
		if r.URL.Path != "/videos" && r.URL.Path != "/clips" {
			return
		}
		size, _ := strconv.Atoi(r.URL.Query().Get("Part"))
		w.Header().Set("Content-Length", strconv.Itoa(steps*size))
		for i := range steps {
			if i == steps/2 && r.URL.Query().Has("Still") {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write(make([]byte, size))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	s.submit(initialRules + "Path=/videos Service=Booking Deadline=1s # Mei Lin: members watch videos\n" +
		"Path=/clips Service=Booking Deadline=20s # Mei Lin: members watch clips\n")
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	url := fmt.Sprintf("http://%s/videos?Part=%d", g.addresses.Callers, part)
	if status, body := get(t, url); status != http.StatusOK || len(body) != steps*part {
		t.Errorf("slow body: got status %d and %d bytes, want 200 and %d", status, len(body), steps*part)
	}
	resp, err := newClient().Get(url + "&Still")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || os.IsTimeout(err) || n > steps/2*part {
		t.Errorf("stalled body: got %d bytes, error %v, want an error other than a timeout after at most %d bytes", n, err, steps/2*part)
	}
	status, body := get(t, "http://"+g.addresses.Callers+"/clips?Part=8&Still")
	if status != http.StatusBadGateway || body != "Code=4005 Outcome=Unknown\n" {
		t.Errorf("small stalled body: got status %d, body %q, want 502 and code 4005", status, body)
	}
	status, body = get(t, "http://"+g.addresses.Callers+"/videos?Part=8&Still")
	if status != http.StatusGatewayTimeout || body != "Code=4004 Outcome=Unknown\n" {
		t.Errorf("small body after the deadline: got status %d, body %q, want 504 and code 4004", status, body)
	}
}

// A request that needs a claim runs at most once, no matter how often and through which
// gateways its caller sends it, even if the responses to all writes to the store are
// lost. While the store is down it does not run.
func TestClaimWithFaultyStore(t *testing.T) {
	const orders = "Path=/orders Method=POST Service=Booking Repeat=Claim # Tan: order once\n"
	s := newCluster(t, 2)
	s.submit(initialRules + orders)
	for _, name := range []string{"gateway-1", "gateway-2"} {
		g := s.addGateway(name)
		eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	}
	for _, c := range []struct {
		key              string
		fault            platform.Fault
		minRuns, maxRuns int64
	}{
		{"store works", platform.Fault{}, 1, 1},
		{"responses to writes lost", platform.Fault{LoseAnswers: true}, 0, 1},
		{"store down", platform.Fault{Down: true}, 0, 0},
	} {
		s.platform.SetFault(c.fault)
		outcomes, executions := s.orderTenTimes(c.key)
		t.Logf("%s: %d executions, outcomes %v", c.key, executions, outcomes)
		if executions < c.minRuns || executions > c.maxRuns || executions < outcomes["Ran"] {
			t.Errorf("%s: got %d executions, outcomes %v, want %d to %d", c.key, executions, outcomes, c.minRuns, c.maxRuns)
		}
		if c.fault.Down && outcomes["NotRun"] != 10 {
			t.Errorf("%s: got outcomes %v, want 10 times NotRun", c.key, outcomes)
		}
	}
}

// orderTenTimes sends the same order ten times concurrently through all gateways. It
// returns how often each outcome was reported, and how often the order was executed.
func (s *cluster) orderTenTimes(key string) (outcomes map[string]int64, executions int64) {
	before := s.executions()
	var group sync.WaitGroup
	results := make(chan string, 10)
	for i := range cap(results) {
		group.Go(func() { results <- placeOrder(s.t, s.gateways[i%len(s.gateways)], key) })
	}
	group.Wait()
	close(results)
	outcomes = make(map[string]int64)
	for outcome := range results {
		outcomes[outcome]++
	}
	return outcomes, s.executions() - before
}

// placeOrder sends an order with an idempotency key, and returns the outcome that the
// response reports: "Claimed" if another call holds the claim, "" after an error.
func placeOrder(t *testing.T, g *runningGateway, key string) string {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+g.addresses.Callers+"/orders", strings.NewReader("M1"))
	if err != nil {
		t.Error(err)
		return ""
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := newClient().Do(r)
	if err != nil {
		t.Error(err)
		return ""
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return "Claimed"
	}
	return resp.Header.Get("Mustardsaddle-Outcome")
}
