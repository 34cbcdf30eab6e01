package instance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

const (
	// stopGrace and stopLag are the settings of gateways that stop under requests.
	stopGrace = 3 * time.Second
	stopLag   = 500 * time.Millisecond
	// stopWork is how long a server works on a request, and stopDeadline the timeout of the
	// rule, which no request reaches.
	stopWork     = 300 * time.Millisecond
	stopDeadline = time.Second
	// stopStep is the time between two requests of a kind.
	stopStep = 50 * time.Millisecond
	// slowPart is the time between the parts of a slow request.
	slowPart = 400 * time.Millisecond
	// callHeader names a request at the server.
	callHeader = "Test-Call"
	// idBefore names the requests before the stop, which take no time.
	idBefore = "before"
	// stopSlots is the number of requests that the server executes at once.
	stopSlots = 512
)

// workingServer counts how often it has executed each request.
type workingServer struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP executes a request. Health checks and load queries are answered at once.
func (s *workingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(callHeader)
	if id == "" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if id != idBefore {
		time.Sleep(stopWork)
	}
	_, _ = io.WriteString(w, "done")
}

func (s *workingServer) executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// reply is what a caller sees of the response to a request: a status of 0 means that the
// connection ended without one.
type reply struct {
	status  int
	outcome string
}

// parts are the parts of a request, and the time at which each is sent, from the begin of
// the stop.
type parts struct {
	text []string
	at   []time.Duration
}

// newRequest returns the parts of a request whose last byte is sent at the given time. Its
// header or its body is slow if it is split there.
func newRequest(id, split string, at time.Duration) parts {
	const body = "Lathe=2"
	text := fmt.Sprintf("POST /bookings HTTP/1.1\r\nHost: gateway\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", callHeader, id, len(body), body)
	if n := strings.Index(text, split); split != "" && at >= slowPart {
		return parts{text: []string{text[:n], text[n:]}, at: []time.Duration{at - slowPart, at}}
	}
	return parts{text: []string{text}, at: []time.Duration{at}}
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func newCaller(t *testing.T, address string) caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return caller{Conn: conn, in: bufio.NewReader(conn)}
}

// call sends a request and returns the reply.
func (c caller) call(begun time.Time, p parts) reply {
	for i, text := range p.text {
		time.Sleep(time.Until(begun.Add(p.at[i])))
		if _, err := io.WriteString(c, text); err != nil {
			return reply{}
		}
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return reply{}
	}
	return reply{status: resp.StatusCode, outcome: resp.Header.Get(header.Outcome)}
}

// sender sends one request to a gateway at a time from the begin of the stop, and returns the
// reply.
type sender func(begun time.Time, id string, at time.Duration) reply

// stopSenders returns the ways in which requests reach a gateway that stops, by name. Each
// call of a function opens its connections before the stop. From is the name of the gateway
// that forwards.
func stopSenders(t *testing.T, g *runningGateway, from string) map[string]func() sender {
	kept := func(split string) func() sender {
		return func() sender {
			c := newCaller(t, g.addresses.Callers)
			if r := c.call(time.Now(), newRequest(idBefore, "", 0)); r.status != http.StatusOK {
				t.Fatalf("request before the stop: got %+v, want 200", r)
			}
			return func(begun time.Time, id string, at time.Duration) reply {
				defer func() { _ = c.Close() }()
				return c.call(begun, newRequest(id, split, at))
			}
		}
	}
	return map[string]func() sender{
		"kept connection": kept(""),
		"slow header":     kept("Content"),
		"slow body":       kept("athe"),
		"new connection": func() sender {
			c := newCaller(t, g.addresses.Callers)
			return func(begun time.Time, id string, at time.Duration) reply {
				defer func() { _ = c.Close() }()
				return c.call(begun, newRequest(id, "", at))
			}
		},
		"stream": func() sender { return newStreamSender(t, "http://"+g.addresses.Callers+"/bookings") },
		"another gateway": func() sender {
			c := newCaller(t, g.addresses.Peer)
			return func(begun time.Time, id string, at time.Duration) reply {
				defer func() { _ = c.Close() }()
				call := forward.Call{Gateway: from, Attempt: id, Service: "Booking", Left: stopDeadline, Attempts: 1}
				p := newRequest(id, "", at)
				p.text[0] = strings.Replace(p.text[0], "Host:", forward.Header+": "+call.String()+"\r\nHost:", 1)
				return c.call(begun, p)
			}
		},
	}
}

// newStreamSender returns a sender over a connection of HTTP/2 that is open.
func newStreamSender(t *testing.T, url string) sender {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	send := func(id string) reply {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("Lathe=2"))
		if err != nil {
			return reply{}
		}
		r.Header.Set(callHeader, id)
		r.GetBody = nil
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return reply{}
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return reply{}
		}
		return reply{status: resp.StatusCode, outcome: resp.Header.Get(header.Outcome)}
	}
	if r := send(idBefore); r.status != http.StatusOK {
		t.Fatalf("stream before the stop: got %+v, want 200", r)
	}
	return func(begun time.Time, id string, at time.Duration) reply {
		defer transport.CloseIdleConnections()
		time.Sleep(time.Until(begun.Add(at)))
		return send(id)
	}
}

// TestStopCutsNoRequestThatItTakes guards against a gateway that stops taking requests late in
// its grace period, sending them to a server and closing their connections without a response
// at the end of the period. No request may be repeated.
func TestStopCutsNoRequestThatItTakes(t *testing.T) {
	for _, stopping := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d of 3 gateways stop", stopping), func(t *testing.T) {
			s := newCluster(t, 0)
			s.configure = func(cfg *settings.Settings) { cfg.Stop = settings.Stop{Lag: stopLag, Grace: stopGrace} }
			e := &workingServer{runs: make(map[string]int)}
			s.startServer("booking-00", e)
			m := s.machines["booking-00"]
			m.Slots, m.Connections = stopSlots, 4*stopSlots
			s.platform.SetMachine(time.Now(), m)
			s.submit(fmt.Sprintf("Path=/bookings Method=POST Service=Booking Deadline=%v Repeat=No # Tan: book a lathe\n", stopDeadline))
			for _, name := range []string{"gateway-1", "gateway-2", "gateway-3"} {
				g := s.addGateway(name)
				eventually(t, waitTimeout, "ready: "+name, func() bool { return g.ready(t) })
			}
			results := newStopResults(t, e)
			start := make(chan time.Time)
			for i, g := range s.gateways[:stopping] {
				for name, open := range stopSenders(t, g, s.gateways[(i+1)%len(s.gateways)].name) {
					for at := time.Duration(0); at < stopGrace; at += stopStep {
						results.run(start, open(), fmt.Sprintf("%s %s at %v", g.name, name, at), at)
					}
				}
			}
			for _, g := range s.gateways[:stopping] {
				g.stop()
			}
			results.begin(start)
			results.check()
			for _, g := range s.gateways[:stopping] {
				if err := g.wait(); err != nil {
					t.Errorf("%s: got error %v, want a stop that cuts no call", g.name, err)
				}
			}
		})
	}
}

// stopResults collects the replies to requests by name.
type stopResults struct {
	t       *testing.T
	server  *workingServer
	wg      sync.WaitGroup
	pending int

	mu      sync.Mutex
	replies map[string]reply
}

func newStopResults(t *testing.T, s *workingServer) *stopResults {
	return &stopResults{t: t, server: s, replies: make(map[string]reply)}
}

// run sends a request at a time from the begin of the stop, which start delivers.
func (r *stopResults) run(start <-chan time.Time, send sender, id string, at time.Duration) {
	r.pending++
	r.wg.Go(func() {
		got := send(<-start, id, at)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replies[id] = got
	})
}

// begin starts all senders.
func (r *stopResults) begin(start chan<- time.Time) {
	now := time.Now()
	for range r.pending {
		start <- now
	}
}

// check waits for all replies, and compares them with what the server has executed.
func (r *stopResults) check() {
	r.wg.Wait()
	counts := make(map[reply]int)
	for id, got := range r.replies {
		counts[got]++
		want := 0
		if got.status == http.StatusOK {
			want = 1
		}
		if n := r.server.executions(id); n != want {
			r.t.Errorf("request of %s: got %+v and %d executions, want %d", id, got, n, want)
		}
		if got.status != 0 && got.status != http.StatusOK && got != (reply{http.StatusServiceUnavailable, "NotRun"}) {
			r.t.Errorf("request of %s: got %+v, want 200, or 503 and NotRun", id, got)
		}
	}
	r.t.Logf("replies: %v", counts)
	if counts[reply{http.StatusOK, "Ran"}] == 0 {
		r.t.Error("got no response to any request, want some")
	}
}

// TestStopAnswersCallsThatItEnds guards against the calls that are still in flight at the end of
// the grace period being cut without a response: those at a server are told that the outcome is
// unknown, those in the queue that they have not run.
func TestStopAnswersCallsThatItEnds(t *testing.T) {
	const calls = 6
	s := newCluster(t, 0)
	s.configure = func(cfg *settings.Settings) { cfg.Stop = settings.Stop{Grace: stopGrace} }
	release := make(chan struct{})
	defer close(release)
	var arrived atomic.Int64
	s.startServer("booking-00", blockingHandler(release, &arrived))
	s.submit("Path=/* Service=Booking Deadline=1m # Mei Lin: members wait\n")
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	replies := make(chan reply, calls)
	for range calls {
		c := newCaller(t, g.addresses.Callers)
		go func() {
			defer func() { _ = c.Close() }()
			p := newRequest("held", "", 0)
			p.text[0] = strings.Replace(p.text[0], "/bookings", "/held", 1)
			replies <- c.call(time.Now(), p)
		}()
	}
	eventually(t, waitTimeout, "calls in flight", func() bool { return g.inFlight(t) == calls })
	g.stop()
	if err := g.wait(); code.Of(err) != code.StopCut {
		t.Errorf("got error %v, want code StopCut", err)
	}
	counts := make(map[reply]int)
	for range calls {
		counts[<-replies]++
	}
	sent := int(arrived.Load())
	want := map[reply]int{{http.StatusBadGateway, "Unknown"}: sent, {http.StatusServiceUnavailable, "NotRun"}: calls - sent}
	if sent == calls || !maps.Equal(counts, want) {
		t.Errorf("got replies %v, want %v", counts, want)
	}
}
