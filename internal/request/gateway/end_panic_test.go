package gateway_test

import (
	"context"
	"net/http"
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

// TestPanicIsAnsweredAndLogged guards against a panic in a call that closes the connection without an answer, and
// without a log line that names the request.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	claimed := "Path=/* Service=Booking Repeat=Claim Anonymous=Yes # Ana: orders\n"
	withLoad := "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nLoad: x\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, rules, want string
		cfg               gateway.Config
	}{
		{"before an attempt", claimed, "503 1 NotRun", gateway.Config{Claims: brokenClaims{}}},
		{"after an attempt", endRules, "502 1 Unknown", gateway.Config{Headers: brokenHeaders()}},
	}
	for _, tt := range tests {
		for _, http2 := range []bool{false, true} {
			s := newEndServer(t, sends(withLoad))
			g := newEndGateway(t, tt.cfg, s, false)
			g.SetRules(compileRules(t, tt.rules))
			var got string
			if http2 {
				got, _ = newStreamClient(t, g).call(http.MethodGet, endID, nil)
			} else {
				c := g.dial(t)
				c.send(t, endRequest(getRequest, endID, "Idempotency-Key: k\r\n"))
				got = c.next()
			}
			if got != tt.want {
				t.Errorf("%s, HTTP/2 %v: got %s, want %s", tt.name, http2, got, tt.want)
			}
			if lines := g.log.waitResults(endID, 1); len(lines) != 1 {
				t.Errorf("%s, HTTP/2 %v: got log lines %v about the end of the call, want one", tt.name, http2, lines)
			}
			if n := g.InFlight(); n != 0 {
				t.Errorf("%s, HTTP/2 %v: got %d calls in flight after the panic, want 0", tt.name, http2, n)
			}
		}
	}
}
