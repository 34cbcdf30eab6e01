package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// A call must not wait for its deadline if every server limits its requests and none may
// get one before: it is refused at once, with the time at which one may.
func TestCallBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	const (
		deadline = time.Second
		maxDelay = 300 * time.Millisecond
		limit    = "0.25"
		// interval is the time between two requests to a server with this limit.
		interval = 4
		// maxRetryAfter is a quarter above interval, so that callers do not return all at once.
		maxRetryAfter = 5
	)
	server := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(statement.LimitHeader, limit)
	})
	front, _ := newGateway(t, gateway.Config{Deadline: deadline}, server.address())
	if resp, text, err := do(t, front, http.MethodGet, "/rosters", ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first call: got %v %q %v, want 200", resp, text, err)
	}
	start := time.Now()
	resp, text, err := do(t, front, http.MethodGet, "/rosters", "")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > maxDelay {
		t.Errorf("got a refusal after %s, want at most %s", took, maxDelay)
	}
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(header.Code) != strconv.Itoa(int(code.CallLimited)) ||
		retryAfter < interval-1 || retryAfter > maxRetryAfter {
		t.Errorf("got status %d, header %v, body %q, want 503 with code %d and Retry-After %d to %d",
			resp.StatusCode, resp.Header, text, code.CallLimited, interval-1, maxRetryAfter)
	}
}

// The refusal of a call whose only server has just asked for a pause must tell the caller
// the time of the pause, not the shorter time in which a queue empties.
func TestRefusalAfterPauseNamesIt(t *testing.T) {
	const (
		pause         = 7
		maxRetryAfter = 9
	)
	server := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Endpoint-Not-Run", "1")
		w.Header().Set("Retry-After", strconv.Itoa(pause))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	front, _ := newGateway(t, gateway.Config{Deadline: time.Second}, server.address())
	for range 2 {
		resp, text, err := do(t, front, http.MethodGet, "/rosters", "")
		if err != nil {
			t.Fatal(err)
		}
		retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		if retryAfter < pause || retryAfter > maxRetryAfter {
			t.Errorf("got status %d, body %q and Retry-After %d, want %d to %d", resp.StatusCode, text, retryAfter, pause, maxRetryAfter)
		}
	}
}
