package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

// sentBody is a request with a body.
type sentBody struct {
	call, method string
	size         int
	chunked      bool
}

func (b sentBody) String() string {
	return fmt.Sprintf("%s %s, %d bytes, chunked %v", b.call, b.method, b.size, b.chunked)
}

// text returns the body. Those of two calls differ from the first byte on, if they have room for it.
func (b sentBody) text() string {
	return strings.Repeat(b.call+"|", b.size/len(b.call)+1)[:b.size]
}

// request returns the request to a gateway.
func (b sentBody) request(t testing.TB, url string) *http.Request {
	t.Helper()
	var body io.Reader = strings.NewReader(b.text())
	if b.chunked {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequest(b.method, url+"/safe", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Test-Call", b.call)
	r.Header.Set("Test-Size", strconv.Itoa(b.size))
	return r
}

// bodyCheck is a set of servers that compare the bodies they receive with those that were sent.
type bodyCheck struct {
	t *testing.T
	// before, if set, is called before the body is read. It returns true if it has ended the
	// request.
	before func(w http.ResponseWriter, r *http.Request) bool
	// after, if set, sends the response.
	after func(w http.ResponseWriter, r *http.Request)

	whole, again atomic.Int64
	mu           sync.Mutex
	runs         map[string]int
}

// start starts a server.
func (b *bodyCheck) start() *countingServer {
	return newCountingServer(b.t, b.serve)
}

func (b *bodyCheck) serve(w http.ResponseWriter, r *http.Request) {
	if b.before != nil && b.before(w, r) {
		return
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return // not a complete request
	}
	size, _ := strconv.Atoi(r.Header.Get("Test-Size"))
	if want := (sentBody{call: r.Header.Get("Test-Call"), size: size}).text(); string(got) != want {
		b.t.Errorf("%s %s ran with %d bytes, %.20q, want %d, %.20q", r.Method, r.Header.Get("Test-Call"), len(got), got, len(want), want)
	}
	b.whole.Add(1)
	b.mu.Lock()
	b.runs[r.Header.Get("Test-Call")]++
	if b.runs[r.Header.Get("Test-Call")] > 1 {
		b.again.Add(1)
	}
	b.mu.Unlock()
	if b.after != nil {
		b.after(w, r)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// bodyRules permit sending any request again.
const bodyRules = "Path=/* Service=Booking Repeat=Yes Attempts=4 # Mei Lin: repeatable\n"

// gateway returns a gateway for the servers at the addresses.
func (b *bodyCheck) gateway(cfg gateway.Config, addresses ...string) (*httptest.Server, *gateway.Gateway) {
	b.t.Helper()
	cfg.Admission.RetryShare = 9
	front, g := newGateway(b.t, cfg, addresses...)
	g.SetRules(compileRules(b.t, bodyRules))
	servers := make([]mustardsaddle.Server, 0, len(addresses))
	for _, a := range addresses {
		servers = append(servers, mustardsaddle.Server{Name: a, Address: a, Service: "Booking", Slots: 16, Connections: 200})
	}
	g.SetServers(time.Now(), "Booking", servers)
	return front, g
}

// refuseHalf refuses half of the requests without naming them.
func refuseHalf(w http.ResponseWriter, _ *http.Request) bool {
	if rand.IntN(2) == 0 {
		return false
	}
	w.Header().Set("Endpoint-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// breakHalf breaks half of the connections.
func breakHalf(http.ResponseWriter, *http.Request) bool {
	if rand.IntN(2) == 0 {
		panic(http.ErrAbortHandler)
	}
	return false
}

// TestBodyIsSentWholeOrNotAtAll guards against a request that runs with a part of its body missing
// because an earlier sending has taken that part. There is a row for each reason to send a request.
func TestBodyIsSentWholeOrNotAtAll(t *testing.T) {
	// One in slowEvery responses is slow, fewer than those after which a hedge is sent.
	const (
		slow      = 300 * time.Millisecond
		slowEvery = 50
	)
	wait := func(w http.ResponseWriter, _ *http.Request) {
		if rand.IntN(slowEvery) == 0 {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, "done")
	}
	rows := []struct {
		name string
		// begin starts the servers and returns where requests are sent to.
		begin func(b *bodyCheck) (*httptest.Server, *gateway.Gateway)
		// prepare, if set, is called before each request.
		prepare func(g *gateway.Gateway, r *http.Request, body sentBody)
		// again is true if the row makes servers receive whole requests once more.
		again  bool
		rounds int
	}{
		{name: "first attempt", rounds: 1, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			return b.gateway(gateway.Config{}, b.start().address())
		}},
		{name: "retry of a refused request, and a connection that had its last response", rounds: 20, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.before = refuseHalf
			return b.gateway(gateway.Config{}, b.start().address(), b.start().address(), b.start().address())
		}},
		{name: "retry of a broken request", rounds: 4, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.before = breakHalf
			return b.gateway(gateway.Config{}, b.start().address(), b.start().address(), b.start().address())
		}},
		{name: "retry of a request whose response was lost", again: true, rounds: 4, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.after = func(w http.ResponseWriter, r *http.Request) {
				breakHalf(w, r)
				_, _ = io.WriteString(w, "done")
			}
			return b.gateway(gateway.Config{}, b.start().address(), b.start().address(), b.start().address())
		}},
		{name: "reused connection that its server closes", rounds: 10, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			servers := []*countingServer{b.start(), b.start()}
			b.after = func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "done")
				go servers[rand.IntN(len(servers))].CloseClientConnections()
			}
			return b.gateway(gateway.Config{}, servers[0].address(), servers[1].address())
		}},
		{name: "hedge", again: true, rounds: 4, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.after = wait
			cfg := gateway.Config{Admission: admission.Options{HedgeShare: 9, MinHedge: time.Millisecond}}
			return b.gateway(cfg, b.start().address(), b.start().address())
		}},
		{name: "rest of a download", again: true, rounds: 2, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.after = func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Etag", `"v1"`)
				http.ServeContent(w, r, "plan", time.Time{}, &patternBody{size: 400 << 10})
			}
			s := b.start()
			breaks := func(int) fault { return fault{downBytes: 150 << 10} }
			return b.gateway(gateway.Config{}, newFaultProxy(b.t, s.address(), breaks).Addr().String(), newFaultProxy(b.t, s.address(), breaks).Addr().String())
		}},
		{name: "request under which a server has ended", rounds: 2, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.before = refuseHalf
			return b.gateway(gateway.Config{}, b.start().address(), b.start().address())
		}, prepare: func(g *gateway.Gateway, r *http.Request, body sentBody) { recordCrashes(g, r, body, 1) }},
		{name: "retest of a quarantined request", rounds: 2, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.before = refuseHalf
			return b.gateway(gateway.Config{Quarantine: quarantine.Config{Crashes: 2, Retest: time.Nanosecond}}, b.start().address(), b.start().address())
		}, prepare: func(g *gateway.Gateway, r *http.Request, body sentBody) { recordCrashes(g, r, body, 2) }},
		{name: "call through another gateway", rounds: 4, begin: func(b *bodyCheck) (*httptest.Server, *gateway.Gateway) {
			b.before = refuseHalf
			fleet := newFleet(b.t, 3, gateway.Config{Deadline: 20 * time.Second}, b.start().address(), b.start().address())
			for _, g := range fleet {
				g.SetRules(compileRules(b.t, bodyRules))
			}
			fleet[0].dialer.SetCut(relay.ResetAndRefuse)
			return fleet[0].front, fleet[0].Gateway
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := &bodyCheck{t: t, runs: make(map[string]int)}
			front, g := row.begin(b)
			var answered atomic.Int64
			sendBodies(row.rounds, func(body sentBody) {
				r := body.request(t, front.URL)
				if row.prepare != nil {
					row.prepare(g, r, body)
				}
				resp, err := front.Client().Transport.RoundTrip(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			})
			if b.whole.Load() == 0 || answered.Load() == 0 || row.again && b.again.Load() == 0 {
				t.Errorf("got %d runs, %d of them of a request that had run, %d responses, want some", b.whole.Load(), b.again.Load(), answered.Load())
			}
		})
	}
}

// sendBodies calls send for requests with bodies of several methods, sizes and framings, some of
// them at the same time.
func sendBodies(rounds int, send func(b sentBody)) {
	const callers = 8
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			n := 0
			for range rounds {
				for _, method := range []string{"GET", "SEARCH", "DELETE", "OPTIONS", "PROPFIND", "POST", "PUT"} {
					for _, size := range []int{1, 3000, 100 << 10} {
						for _, chunked := range []bool{true, false} {
							n++
							send(sentBody{call: fmt.Sprintf("%d-%d", caller, n), method: method, size: size, chunked: chunked})
						}
					}
				}
			}
		})
	}
	wg.Wait()
}

// recordCrashes records that servers have ended while they had the request.
func recordCrashes(g *gateway.Gateway, r *http.Request, body sentBody, n int) {
	h := identity.New(r, identity.Scope{})
	_, _ = io.WriteString(h, body.text())
	for i := range n {
		g.Isolation().RecordCrash(time.Now(), quarantine.Crash{
			Digest: h.Sum(), Head: h.Head(), Service: "Booking", Instance: mustardsaddle.Instance{Name: fmt.Sprintf("ended-%d", i)},
		})
	}
}
