package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// eagerConfig retries and hedges as often as possible.
var eagerConfig = gateway.Config{
	MaxAttempts: 5, Deadline: time.Second,
	Admission: admission.Options{RetryShare: 5, HedgeShare: 5, MinHedge: time.Millisecond},
}

// TestAtMostOnce sends requests that must run at most once over connections that
// break, lose responses or go silent, while the gateway retries and hedges as often
// as it may. A request that is sent again after a server received it would run twice.
func TestAtMostOnce(t *testing.T) {
	faults := map[string]func(p *faultProxy){
		"reset at response start":       func(p *faultProxy) { p.setFault(fault{downBytes: 1}) },
		"reset within response":         func(p *faultProxy) { p.setFault(fault{downBytes: 60}) },
		"half-closed at response start": func(p *faultProxy) { p.setFault(fault{downBytes: 1, halfClose: true}) },
		"reset within request":          func(p *faultProxy) { p.setFault(fault{upBytes: 20}) },
		"response lost":                 func(p *faultProxy) { p.dropResponses.Store(true) },
		"pooled connections reset":      func(p *faultProxy) { p.resetAll() },
		"pooled connections silent":     func(p *faultProxy) { p.freeze() },
		"silent at response start":      func(p *faultProxy) { p.setFault(fault{downBytes: 1, freeze: true}) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCountingServer(t, nil)
			a, b := newFaultProxy(t, s.address(), nil), newFaultProxy(t, s.address(), nil)
			cfg := eagerConfig
			cfg.Deadline = 200 * time.Millisecond
			front, _ := newGateway(t, cfg, a.Addr().String(), b.Addr().String())
			for range 40 { // fills the connection pool
				_, _, _ = do(t, front, "GET", "/warm", "")
			}
			inject(a)
			inject(b)
			n := 0
			for _, method := range []string{"POST", "PUT", "PATCH", "DELETE"} {
				for _, body := range []string{"", "a bandsaw", strings.Repeat("x", 100<<10)} {
					for _, key := range []string{"", "key-1"} {
						n++
						call := fmt.Sprintf("%s-%d", name, n)
						fields := []string{"Test-Call", call}
						if key != "" {
							fields = append(fields, "Idempotency-Key", key)
						}
						resp, _, _ := do(t, front, method, "/once", body, fields...)
						runs := executions(call, s)
						if runs > 1 {
							t.Errorf("%s with %d bytes, key %q: executed %d times, want at most once", method, len(body), key, runs)
						}
						if resp != nil && resp.Header.Get(header.Outcome) == "NotRun" && runs != 0 {
							t.Errorf("%s with %d bytes, key %q: reported NotRun, but executed %d times", method, len(body), key, runs)
						}
					}
				}
			}
		})
	}
}

// TestTransportNeverResends breaks the reused connection of an idempotent request
// after the server has executed it. http.Transport must not resend it, so one
// attempt must not run twice.
func TestTransportNeverResends(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST"} {
		for _, body := range []string{"", "a lathe"} {
			s := newCountingServer(t, nil)
			p := newFaultProxy(t, s.address(), nil)
			front, _ := newGateway(t, gateway.Config{MaxAttempts: 1}, p.Addr().String())
			_, _, _ = do(t, front, method, "/safe", body)
			p.dropResponses.Store(true)
			resp, _, err := do(t, front, method, "/safe", body, "Test-Call", "lost", "Idempotency-Key", "key")
			if err != nil || resp.Header.Get(header.Outcome) != "Unknown" || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s with %q: got %v, %v, want 502 and Unknown", method, body, resp, err)
			}
			if runs := executions("lost", s); runs != 1 {
				t.Errorf("%s with %q: one attempt was executed %d times, want once", method, body, runs)
			}
		}
	}
}

// TestOutcomeMatchesExecutions injects random faults, and checks each reported
// outcome against the executions that the server counted.
func TestOutcomeMatchesExecutions(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "run")
	})
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) fault {
			return fault{
				upBytes:   rapid.SampledFrom([]int64{0, 0, 1, 100, 400, 600}).Draw(t, "Up"),
				downBytes: rapid.SampledFrom([]int64{0, 0, 1, 50, 200}).Draw(t, "Down"),
				freeze:    rapid.IntRange(0, 9).Draw(t, "Freeze") == 0,
				halfClose: rapid.Bool().Draw(t, "Half"),
			}
		})
		faults := rapid.SliceOfN(gen, 6, 6).Draw(t, "Faults")
		faultOf := func(n int) fault { return faults[n%len(faults)] }
		var tb testing.T
		a, b := newFaultProxy(&tb, s.address(), faultOf), newFaultProxy(&tb, s.address(), faultOf)
		defer func() { _, _ = a.Close(), b.Close(); a.resetAll(); b.resetAll() }()
		cfg := eagerConfig
		cfg.Deadline = 100 * time.Millisecond
		front, g := newGateway(&tb, cfg, a.Addr().String(), b.Addr().String())
		defer func() { front.CloseClientConnections(); front.Close(); g.Close() }()
		for range 4 {
			n++
			method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "Method")
			body := rapid.SampledFrom([]string{"", "a lathe"}).Draw(t, "Body")
			call := fmt.Sprintf("outcome-%d", n)
			resp, text, err := do(&tb, front, method, "/x", body, "Test-Call", call, "Idempotency-Key", call)
			runs := executions(call, s)
			if method != "GET" && runs > 1 {
				t.Fatalf("%s was executed %d times, want at most once", method, runs)
			}
			if err != nil {
				continue // visibly aborted
			}
			outcome := resp.Header.Get(header.Outcome)
			if outcome == "NotRun" && runs != 0 || resp.StatusCode == http.StatusOK && (runs == 0 || text != "run") {
				t.Fatalf("%s: reported %s with body %q, but executed %d times", method, outcome, text, runs)
			}
		}
	})
}

func TestShedRequestIsRetriedOnAnotherServer(t *testing.T) {
	convey.Convey("Given a server that sheds load and a healthy one", t, func() {
		shedding := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Endpoint-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		healthy := newCountingServer(t, nil)
		front, _ := newGateway(t, gateway.Config{}, shedding.address(), healthy.address())
		convey.Convey("A shed request is executed once by the healthy server", func() {
			for i := range 10 {
				resp, text, err := do(t, front, "POST", "/bookings", "a lathe", "Test-Call", fmt.Sprint("shed-", i))
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.StatusCode, convey.ShouldEqual, 200)
				convey.So(text, convey.ShouldEqual, "a lathe")
				convey.So(executions(fmt.Sprint("shed-", i), healthy), convey.ShouldEqual, 1)
			}
		})
		convey.Convey("If all servers shed load, the caller gets NotRun and Retry-After", func() {
			front, _ := newGateway(t, gateway.Config{}, shedding.address())
			resp, text, err := do(t, front, "POST", "/bookings", "a lathe")
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, 429)
			convey.So(resp.Header.Get("Retry-After"), convey.ShouldEqual, "1")
			convey.So(text, convey.ShouldEqual, "Code=4003 Outcome=NotRun\n")
		})
	})
}

// TestIdleConnectionIsReplaced sends at-most-once calls while the pooled connection
// has been idle for longer than the liveness window. They must use a new connection
// instead of failing.
func TestIdleConnectionIsReplaced(t *testing.T) {
	s := newCountingServer(t, nil)
	front, _ := newGateway(t, gateway.Config{}, s.address())
	if _, _, err := do(t, front, "GET", "/warm", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // longer than the liveness window
	for i := range 4 {
		call := fmt.Sprint("idle-", i)
		resp, text, err := do(t, front, "POST", "/bookings", "a lathe", "Test-Call", call)
		if err != nil || resp.StatusCode != http.StatusOK || executions(call, s) != 1 {
			t.Fatalf("call %d: got %v %q %v, executed %d times, want 200 and once", i, resp, text, err, executions(call, s))
		}
	}
}

// TestSilentConnection stops the pooled connections from forwarding. A hedge on a
// new connection must be answered long before the deadline.
func TestSilentConnection(t *testing.T) {
	s := newCountingServer(t, nil)
	a, b := newFaultProxy(t, s.address(), nil), newFaultProxy(t, s.address(), nil)
	front, _ := newGateway(t, gateway.Config{Deadline: time.Minute}, a.Addr().String(), b.Addr().String())
	for range 40 {
		_, _, _ = do(t, front, "GET", "/warm", "")
	}
	a.freeze()
	b.freeze()
	for i := range 5 {
		call := fmt.Sprint("silent-", i)
		resp, _, err := do(t, front, "GET", "/read", "", "Test-Call", call)
		if err != nil || resp.StatusCode != http.StatusOK || executions(call, s) == 0 {
			t.Fatalf("got %v, %v, executed %d times, want 200", resp, err, executions(call, s))
		}
	}
}
