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

// A surge of ten times the calls sends no more probes than agreed: the servers'
// own counts are the judge.
func TestSurgeKeepsTheMeasuringBudget(t *testing.T) {
	const (
		agreed    = 10.0 // probes a second of each gateway
		burst     = 0.25 // seconds for which unspent probes are kept
		usual     = 100  // calls
		surge     = 10 * usual
		callers   = 20
		leastTime = 3 * time.Second
	)
	s := newSystem(t, 3)
	s.change = func(cfg *settings.Settings) {
		cfg.Measuring.MessagesPerSecond, cfg.Measuring.ServerPerSecond = agreed, 1000
	}
	begun := time.Now()
	gateways := s.startReady("gateway-1", "gateway-2")
	call := func(i int) { get(t, "http://"+gateways[i%2].addresses.Callers+"/rosters") }
	for i := range usual {
		call(i)
	}
	var group sync.WaitGroup
	var calls atomic.Int64
	for range callers {
		group.Go(func() {
			for calls.Load() < surge || time.Since(begun) < leastTime {
				call(int(calls.Add(1)))
			}
		})
	}
	group.Wait()
	probes := int64(0)
	for _, e := range s.servers {
		probes += e.Count().Probes
	}
	seconds := time.Since(begun).Seconds()
	limit := float64(len(gateways)) * agreed * (seconds + burst)
	t.Logf("%d calls, %d probes in %.1f s, agreed %.0f", usual+calls.Load(), probes, seconds, limit)
	if float64(probes) > limit {
		t.Errorf("got %d probes in %.1f s, want at most %.0f", probes, seconds, limit)
	}
	if probes == 0 {
		t.Error("got no probe")
	}
}

// A stop with calls waiting and hedges in flight cuts none: each caller has a
// whole answer.
func TestStopWithQueuedAndHedgedCalls(t *testing.T) {
	const (
		first   = 2  // calls that are hedged
		callers = 24 // calls that come after them, more than the servers take
		rule    = "Path=/held Service=Booking Deadline=15s # Mei Lin: members wait\n"
	)
	s := newSystem(t, 0)
	s.change = func(cfg *settings.Settings) { cfg.Retry.HedgeShare, cfg.Retry.RetryShare = 1, 1 }
	release := make(chan struct{})
	var arrived atomic.Int64
	for i := range 3 {
		s.addHost(fmt.Sprintf("booking-%02d", i), held(release, &arrived))
	}
	s.submit(firstRules + rule)
	g := s.addGateway("gateway-1")
	eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	url := "http://" + g.addresses.Callers
	for range 100 {
		get(t, url+"/rosters")
	}
	ends := make(chan error, first+callers)
	for range first {
		go func() { ends <- answered(url + "/held") }()
	}
	eventually(t, patience, "a hedge", func() bool { return arrived.Load() > first })
	for range callers {
		go func() { ends <- answered(url + "/held") }()
	}
	flight := fmt.Sprintf("Mustardsaddle_InFlight %d\n", cap(ends))
	eventually(t, patience, "calls in flight", func() bool {
		_, text := get(t, "http://"+g.addresses.Admin+"/metrics")
		return strings.Contains(text, flight)
	})
	if n := arrived.Load(); n >= int64(cap(ends)) {
		t.Fatalf("got %d attempts, want some of the %d calls to wait", n, cap(ends))
	}
	g.stop()
	eventually(t, patience, "the end of the lag", func() bool {
		c, err := net.Dial("tcp", g.addresses.Callers)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(release)
	for range cap(ends) {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	if err := g.end(); err != nil {
		t.Errorf("the stop: got %v, want nothing cut", err)
	}
}

// A server that dies during a stop costs no caller of an idempotent call its
// answer: another server gives it.
func TestStopWhileAServerDies(t *testing.T) {
	const callers = 6
	s := newSystem(t, 0)
	s.change = func(cfg *settings.Settings) {
		cfg.Retry.HedgeShare, cfg.Retry.RetryShare = 0, 1
		cfg.Stop.Lag = time.Second
	}
	release := make(chan struct{})
	var arrived [3]atomic.Int64
	for i := range arrived {
		s.addHost(fmt.Sprintf("booking-%02d", i), held(release, &arrived[i]))
	}
	s.submit(firstRules + "Path=/held Service=Booking Deadline=15s # Mei Lin: members wait\n")
	g := s.addGateway("gateway-1")
	eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	url := "http://" + g.addresses.Callers
	for range 100 {
		get(t, url+"/rosters")
	}
	ends := make(chan error, callers)
	for range callers {
		go func() { ends <- answered(url + "/held") }()
	}
	total := func() int64 { return arrived[0].Load() + arrived[1].Load() + arrived[2].Load() }
	eventually(t, patience, "all calls at servers", func() bool { return total() == callers })
	dies := 0
	for arrived[dies].Load() == 0 {
		dies++
	}
	g.stop()
	eventually(t, patience, "the stop", func() bool { return !g.ready(t) })
	s.kill(dies)
	eventually(t, patience, "calls at other servers", func() bool { return total() > callers })
	close(release)
	for range callers {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	if err := g.end(); err != nil {
		t.Errorf("the stop: got %v, want nothing cut", err)
	}
}

// held returns an endpoint server that holds the calls of /held until they are
// released, and counts them.
func held(release <-chan struct{}, arrived *atomic.Int64) http.Handler {
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
		_, _ = io.WriteString(w, wholeAnswer)
	})
}

// wholeAnswer is the answer of a server that held a call.
var wholeAnswer = strings.Repeat("whole ", 1000)

// answered makes a call on a connection of its own, and returns nil for a whole
// answer of a server.
func answered(url string) error {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != wholeAnswer {
		return fmt.Errorf("got status %d %.60s, %w, want a whole answer", resp.StatusCode, body, err)
	}
	return nil
}

// A body that stands still is cut visibly, or answered with a code while none of it
// has been passed on; one that only comes slowly is whole although it takes longer
// than the deadline.
func TestBodyThatStandsStill(t *testing.T) {
	const steps, part = 30, 8 << 10
	s := newSystem(t, 0)
	s.change = func(cfg *settings.Settings) { cfg.Limits.Progress = time.Second }
	s.addHost("booking-00", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(report.Header, report.Format(0, 2, false))
		if r.URL.Path != "/videos" {
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
	s.submit(firstRules + "Path=/videos Service=Booking Deadline=1s # Mei Lin: members watch videos\n")
	g := s.addGateway("gateway-1")
	eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	url := fmt.Sprintf("http://%s/videos?Part=%d", g.addresses.Callers, part)
	if status, body := get(t, url); status != http.StatusOK || len(body) != steps*part {
		t.Errorf("a slow body: got status %d and %d bytes, want 200 and %d", status, len(body), steps*part)
	}
	resp, err := caller().Get(url + "&Still")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || os.IsTimeout(err) || n > steps/2*part {
		t.Errorf("a body that stands still: got %d bytes, %v, want a cut after at most %d", n, err, steps/2*part)
	}
	status, body := get(t, "http://"+g.addresses.Callers+"/videos?Part=8&Still")
	if status != http.StatusBadGateway || body != "Code=4005 Outcome=Unknown\n" {
		t.Errorf("a small body that stands still: got status %d %q, want 502 and code 4005", status, body)
	}
}

// A request that is claimed runs at most once, however often and through whichever
// gateways its caller sends it, also if each answer of the store's writes is lost.
// With the store down it is not run.
func TestClaimThroughAFaultyStore(t *testing.T) {
	const orders = "Path=/orders Method=POST Service=Booking Repeat=Claim # Tan: order once\n"
	s := newSystem(t, 2)
	s.submit(firstRules + orders)
	for _, name := range []string{"gateway-1", "gateway-2"} {
		g := s.addGateway(name)
		eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	}
	for _, c := range []struct {
		key         string
		fault       platform.Fault
		least, most int64
	}{
		{"store works", platform.Fault{}, 1, 1},
		{"answers of writes lost", platform.Fault{LoseAnswers: true}, 0, 1},
		{"store down", platform.Fault{Down: true}, 0, 0},
	} {
		s.platform.SetFault(c.fault)
		told, executions := s.orderTenTimes(c.key)
		t.Logf("%s: %d executions, told %v", c.key, executions, told)
		if executions < c.least || executions > c.most || executions < told["Ran"] {
			t.Errorf("%s: got %d executions, told %v, want %d to %d", c.key, executions, told, c.least, c.most)
		}
		if c.fault.Down && told["NotRun"] != 10 {
			t.Errorf("%s: told %v, want NotRun each time", c.key, told)
		}
	}
}

// orderTenTimes sends one order ten times at once through two gateways. It returns
// how many callers were told each outcome of their own attempt, and how often the
// order was executed.
func (s *system) orderTenTimes(key string) (told map[string]int64, executions int64) {
	before := s.ran()
	var group sync.WaitGroup
	outcomes := make(chan string, 10)
	for i := range cap(outcomes) {
		group.Go(func() { outcomes <- order(s.t, s.gateways[i%len(s.gateways)], key) })
	}
	group.Wait()
	close(outcomes)
	told = make(map[string]int64)
	for outcome := range outcomes {
		told[outcome]++
	}
	return told, s.ran() - before
}

// order sends an order with an idempotency key, and returns the outcome that the
// caller is told.
func order(t *testing.T, g *gatewayVM, key string) string {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+g.addresses.Callers+"/orders", strings.NewReader("M1"))
	if err != nil {
		t.Error(err)
		return ""
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := caller().Do(r)
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
