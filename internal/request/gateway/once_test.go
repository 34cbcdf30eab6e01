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

// eager hedges and retries as much as it can.
var eager = gateway.Config{
	MaxAttempts: 5, Deadline: time.Second,
	Admission: admission.Options{RetryShare: 5, HedgeShare: 5, MinHedge: time.Millisecond},
}

func TestAtMostOnce(t *testing.T) {
	faults := map[string]func(l *link){
		"broken":      func(l *link) { l.setFault(fault{down: 1}) },
		"broken late": func(l *link) { l.setFault(fault{down: 60}) },
		"half-closed": func(l *link) { l.setFault(fault{down: 1, half: true}) },
		"cut early":   func(l *link) { l.setFault(fault{up: 20}) },
		"answer lost": func(l *link) { l.lossy.Store(true) },
		"stale":       func(l *link) { l.cut() },
		"silent":      func(l *link) { l.freeze() },
		"frozen":      func(l *link) { l.setFault(fault{down: 1, freeze: true}) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := newJudge(t, nil)
			a, b := newLink(t, j.address(), nil), newLink(t, j.address(), nil)
			cfg := eager
			cfg.Deadline = 200 * time.Millisecond
			front, _ := newGateway(t, cfg, a.Addr().String(), b.Addr().String())
			for range 40 { // leaves idle connections behind
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
						runs := count(call, j)
						if runs > 1 {
							t.Errorf("%s with %d bytes, key %q: ran %d times, want at most 1", method, len(body), key, runs)
						}
						if resp != nil && resp.Header.Get(header.Outcome) == "NotRun" && runs != 0 {
							t.Errorf("%s with %d bytes, key %q: told NotRun, ran %d times", method, len(body), key, runs)
						}
					}
				}
			}
		})
	}
}

// TestTransportNeverResends breaks the reused connection of an idempotent request
// after the server has run it: one attempt must not run twice.
func TestTransportNeverResends(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST"} {
		for _, body := range []string{"", "a lathe"} {
			j := newJudge(t, nil)
			l := newLink(t, j.address(), nil)
			front, _ := newGateway(t, gateway.Config{MaxAttempts: 1}, l.Addr().String())
			_, _, _ = do(t, front, method, "/safe", body)
			l.lossy.Store(true)
			resp, _, err := do(t, front, method, "/safe", body, "Test-Call", "lost", "Idempotency-Key", "key")
			if err != nil || resp.Header.Get(header.Outcome) != "Unknown" || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s with %q: got %v, %v, want 502 and Unknown", method, body, resp, err)
			}
			if runs := count("lost", j); runs != 1 {
				t.Errorf("%s with %q: one attempt ran %d times", method, body, runs)
			}
		}
	}
}

// TestOutcomeIsTrue searches random faults for an outcome that is not true.
func TestOutcomeIsTrue(t *testing.T) {
	j := newJudge(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "run")
	})
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) fault {
			return fault{
				up:     rapid.SampledFrom([]int64{0, 0, 1, 100, 400, 600}).Draw(t, "Up"),
				down:   rapid.SampledFrom([]int64{0, 0, 1, 50, 200}).Draw(t, "Down"),
				freeze: rapid.IntRange(0, 9).Draw(t, "Freeze") == 0,
				half:   rapid.Bool().Draw(t, "Half"),
			}
		})
		faults := rapid.SliceOfN(gen, 6, 6).Draw(t, "Faults")
		at := func(n int) fault { return faults[n%len(faults)] }
		var tb testing.T
		a, b := newLink(&tb, j.address(), at), newLink(&tb, j.address(), at)
		defer func() { _, _ = a.Close(), b.Close(); a.cut(); b.cut() }()
		cfg := eager
		cfg.Deadline = 100 * time.Millisecond
		front, g := newGateway(&tb, cfg, a.Addr().String(), b.Addr().String())
		defer func() { front.CloseClientConnections(); front.Close(); g.Close() }()
		for range 4 {
			n++
			method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "Method")
			body := rapid.SampledFrom([]string{"", "a lathe"}).Draw(t, "Body")
			call := fmt.Sprintf("truth-%d", n)
			resp, text, err := do(&tb, front, method, "/x", body, "Test-Call", call, "Idempotency-Key", call)
			runs := count(call, j)
			if method != "GET" && runs > 1 {
				t.Fatalf("%s ran %d times, want at most 1", method, runs)
			}
			if err != nil {
				continue // visibly cut
			}
			outcome := resp.Header.Get(header.Outcome)
			if outcome == "NotRun" && runs != 0 || resp.StatusCode == http.StatusOK && (runs == 0 || text != "run") {
				t.Fatalf("%s: told %s with %q, ran %d times", method, outcome, text, runs)
			}
		}
	})
}

func TestShedIsRetriedElsewhere(t *testing.T) {
	convey.Convey("Given a server that sheds and one that works", t, func() {
		shed := newJudge(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Endpoint-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		works := newJudge(t, nil)
		front, _ := newGateway(t, gateway.Config{}, shed.address(), works.address())
		convey.Convey("A booking that was shed runs once at the other", func() {
			for i := range 10 {
				resp, text, err := do(t, front, "POST", "/bookings", "a lathe", "Test-Call", fmt.Sprint("shed-", i))
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.StatusCode, convey.ShouldEqual, 200)
				convey.So(text, convey.ShouldEqual, "a lathe")
				convey.So(count(fmt.Sprint("shed-", i), works), convey.ShouldEqual, 1)
			}
		})
		convey.Convey("If all shed, the caller is told NotRun and when to come back", func() {
			front, _ := newGateway(t, gateway.Config{}, shed.address())
			resp, text, err := do(t, front, "POST", "/bookings", "a lathe")
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, 429)
			convey.So(resp.Header.Get("Retry-After"), convey.ShouldEqual, "1")
			convey.So(text, convey.ShouldEqual, "Code=4003 Outcome=NotRun\n")
		})
	})
}

// TestIdleConnectionIsNoFault has at-most-once calls meet a connection that was idle
// for longer than counts as alive: they must take a new one instead of failing.
func TestIdleConnectionIsNoFault(t *testing.T) {
	j := newJudge(t, nil)
	front, _ := newGateway(t, gateway.Config{}, j.address())
	if _, _, err := do(t, front, "GET", "/warm", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // longer than the window
	for i := range 4 {
		call := fmt.Sprint("idle-", i)
		resp, text, err := do(t, front, "POST", "/bookings", "a lathe", "Test-Call", call)
		if err != nil || resp.StatusCode != http.StatusOK || count(call, j) != 1 {
			t.Fatalf("call %d: got %v %q %v, ran %d times, want 200 and once", i, resp, text, err, count(call, j))
		}
	}
}

// TestSilentConnection freezes the idle connections: a hedge on a new connection
// answers long before the deadline.
func TestSilentConnection(t *testing.T) {
	j := newJudge(t, nil)
	a, b := newLink(t, j.address(), nil), newLink(t, j.address(), nil)
	front, _ := newGateway(t, gateway.Config{Deadline: time.Minute}, a.Addr().String(), b.Addr().String())
	for range 40 {
		_, _, _ = do(t, front, "GET", "/warm", "")
	}
	a.freeze()
	b.freeze()
	for i := range 5 {
		call := fmt.Sprint("silent-", i)
		resp, _, err := do(t, front, "GET", "/read", "", "Test-Call", call)
		if err != nil || resp.StatusCode != http.StatusOK || count(call, j) == 0 {
			t.Fatalf("got %v, %v, ran %d times, want 200", resp, err, count(call, j))
		}
	}
}
