package drain_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/drain"
)

var begun = time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

func TestTakes(t *testing.T) {
	const lag, grace = 3 * time.Second, 6 * time.Second
	tests := []struct {
		name       string
		lag, grace time.Duration
		at         time.Duration
		timeout    time.Duration
		unbounded  bool
		want       bool
	}{
		{"in the lag", lag, grace, 2999 * time.Millisecond, time.Minute, false, true},
		{"upload in the lag", lag, grace, 2999 * time.Millisecond, time.Minute, true, true},
		{"ends with the period", lag, grace, 3 * time.Second, 2500 * time.Millisecond, false, true},
		{"ends later", lag, grace, 3 * time.Second, 2501 * time.Millisecond, false, false},
		{"upload after the lag", lag, grace, 3 * time.Second, time.Second, true, false},
		{"after the end", lag, grace, 5600 * time.Millisecond, 0, false, false},
		{"lag above half of the grace period", 5 * time.Second, grace, 3 * time.Second, 4 * time.Second, false, false},
		{"no lag", 0, grace, 0, 6 * time.Second, false, false},
		{"no lag, ends in time", 0, grace, 0, 5 * time.Second, false, true},
		{"no grace period", lag, 0, time.Hour, time.Hour, true, true},
	}
	for _, tt := range tests {
		p := drain.New(drain.Config{Begun: begun, Lag: tt.lag, Grace: tt.grace})
		now := begun.Add(tt.at)
		if got := p.Takes(now, drain.Request{Deadline: now.Add(tt.timeout), Unbounded: tt.unbounded}); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Whatever the settings are, a request that is taken after the lag ends before the calls in
// flight are ended, and these get their responses before the process is killed.
func TestPeriodProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.Config{
			Begun: begun,
			Lag:   time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "Lag")),
			Grace: time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "Grace")),
		}
		p := drain.New(cfg)
		killed := begun.Add(cfg.Grace)
		now := begun.Add(time.Duration(rapid.Int64Range(0, int64(cfg.Grace)).Draw(t, "Now")))
		deadline := now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "Timeout")))
		left, limited := p.Left(now)
		if !limited || p.Lag(begun) > cfg.Grace/2 {
			t.Fatalf("got lag %v, limited %t, want at most half of %v and true", p.Lag(begun), limited, cfg.Grace)
		}
		if now.Add(left).After(killed) && now.Before(killed) {
			t.Fatalf("got calls that end %v after the kill", now.Add(left).Sub(killed))
		}
		if wait, _ := p.Left(begun); begun.Add(wait + 2*p.Flush()).After(killed) {
			t.Fatalf("got %v until the last connection is closed, want at most %v", wait+2*p.Flush(), cfg.Grace)
		}
		taken := p.Takes(now, drain.Request{Deadline: deadline})
		if taken && p.Lag(now) == 0 && deadline.After(now.Add(left)) {
			t.Fatalf("got a request taken that ends %v after the calls in flight", deadline.Sub(now.Add(left)))
		}
	})
}
