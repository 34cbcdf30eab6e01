package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// brokenClaims is a store of claims that panics.
type brokenClaims struct{ slowClaims }

func (brokenClaims) Acquire(context.Context, string, string, string) (mustardsaddle.Claim, bool, error) {
	panic("claims are broken")
}

// brokenHeaders returns headers whose load reports cannot be parsed without a panic.
func brokenHeaders() *mustardsaddle.Headers {
	return &mustardsaddle.Headers{
		RequestID: "Request-Id", Load: "Load",
		ParseLoad: func(time.Time, string) (mustardsaddle.Report, error) { panic("load reports are broken") },
	}
}

// TestPanicIsAnsweredAndLogged guards against a panic in a call that closes the connection without an answer and
// without a log line that names the request, and against one that keeps a slot of the server.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	claimed := "Path=/* Service=Booking Repeat=Claim Anonymous=Yes # Ana: orders\n"
	tests := []struct {
		name, rules, want string
		cfg               gateway.Config
	}{
		{"before an attempt", claimed, "503 1 NotRun", gateway.Config{Claims: brokenClaims{}}},
		{"after an attempt of a claimed request", claimed, "502 1 Unknown", gateway.Config{Headers: brokenHeaders(), Claims: slowClaims{acquires: true}}},
		{"after an attempt", endRules, "502 1 Unknown", gateway.Config{Headers: brokenHeaders()}},
	}
	for _, tt := range tests {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, HTTP/2 %v", tt.name, http2), func(t *testing.T) {
				t.Parallel()
				s := newEndServer(t, answers("HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nLoad: x\r\nContent-Length: 0\r\n\r\n"))
				g := newEndGateway(t, tt.cfg, s, false)
				g.SetRules(compileRules(t, tt.rules))
				checkPanics(t, g, tt.want, http2)
			})
		}
	}
}

// checkPanics sends more requests than the server has slots, each of which must be answered.
func checkPanics(t *testing.T, g *endGateway, want string, http2 bool) {
	t.Helper()
	const requests = 5
	plain, streams := g.dial(t), newStreamClient(t, g)
	for i := range requests {
		var got string
		if http2 {
			got, _ = streams.call(http.MethodGet, endID, nil)
		} else {
			plain.send(t, endRequest(getRequest, endID, "Idempotency-Key: k\r\n"))
			got = plain.next()
		}
		if got != want {
			t.Errorf("request %d: got %s, want %s", i, got, want)
		}
	}
	if lines := g.log.waitResults(endID, requests); len(lines) != requests {
		t.Errorf("got log lines %v about the ends of %d calls", lines, requests)
	}
}

// TestPanicInHedgeIsLogged guards against a panic in a hedge that ends the process, or keeps a slot of the server.
func TestPanicInHedgeIsLogged(t *testing.T) {
	const calls, pause = 12, 300 * time.Millisecond
	var requests atomic.Int64
	cfg := eagerConfig
	cfg.Headers = brokenHeaders()
	s := newEndServer(t, func(c net.Conn, r *http.Request) bool {
		if requests.Add(1)%2 == 1 { // the hedge comes second
			time.Sleep(pause)
		}
		return answers("HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nLoad: x\r\nContent-Length: 0\r\n\r\n")(c, r)
	})
	g := newEndGateway(t, cfg, s, false)
	servers := []mustardsaddle.Server{
		{Name: "a", Address: s.address, Service: "Booking", Slots: 2, Connections: 200},
		{Name: "b", Address: newEndServer(t, s.serve).address, Service: "Booking", Slots: 2, Connections: 200},
	}
	g.SetServers(time.Now(), "Booking", servers)
	g.SetRules(compileRules(t, "Path=/* Service=Booking Repeat=Yes Attempts=5 # Ana: all\n"))
	c := g.dial(t)
	for range calls {
		c.send(t, endRequest(getRequest, endID, ""))
		if got, want := c.next(), "502 1 Unknown"; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	}
	if n := g.log.count("CallPanicked"); n <= calls {
		t.Errorf("got %d panics in %d calls, want some in hedges", n, calls)
	}
}
