package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
)

// instance returns the nth instance.
func instance(n int) mustardsaddle.Instance {
	return mustardsaddle.Instance{Name: fmt.Sprintf("booking-%02d", n), Incarnation: 1}
}

// crash records that the nth instance has ended under a request.
func crash(t *quarantine.Table, now time.Time, digest mustardsaddle.RequestDigest, n int) (mustardsaddle.RequestSuspicion, bool) {
	return t.RecordCrash(now, quarantine.Crash{Digest: digest, Head: 7, Service: "Booking", Instance: instance(n)})
}

// TestQuarantineTakesItsCourse checks the states of a request from the first crash to the
// last retest.
func TestQuarantineTakesItsCourse(t *testing.T) {
	digest, start := modelDigest(1), time.Unix(1000, 0)
	table := quarantine.New(quarantine.Config{Retest: 10 * time.Second})
	at := start.Add
	steps := []struct {
		name string
		at   time.Duration
		do   func(now time.Time)
		want quarantine.State
		wait time.Duration
	}{
		{"unknown", 0, func(time.Time) {}, quarantine.Free, 0},
		{"first crash", time.Second, func(now time.Time) { crash(table, now, digest, 1) }, quarantine.Suspect, 0},
		{"same instance again", time.Second, func(now time.Time) { crash(table, now, digest, 1) }, quarantine.Suspect, 0},
		{"second crash", 2 * time.Second, func(now time.Time) { crash(table, now, digest, 2) }, quarantine.Suspect, 0},
		{"third crash", 3 * time.Second, func(now time.Time) { crash(table, now, digest, 3) }, quarantine.Quarantined, 10 * time.Second},
		{"not due", 13*time.Second - 1, func(time.Time) {}, quarantine.Quarantined, 1},
		{"due", 13 * time.Second, func(time.Time) {}, quarantine.Due, 0},
		{"retest", 14 * time.Second, func(now time.Time) { table.RecordRetest(now, digest) }, quarantine.Quarantined, 5 * time.Minute},
		{"retest ends a server", 15 * time.Second, func(now time.Time) { crash(table, now, digest, 4) }, quarantine.Quarantined, 5 * time.Minute},
		{"due again", 5*time.Minute + 15*time.Second, func(time.Time) {}, quarantine.Due, 0},
		{"last retest", 6 * time.Minute, func(now time.Time) { table.RecordRetest(now, digest) }, quarantine.Quarantined, 24 * time.Hour},
		{"no further retest", 24*time.Hour + 6*time.Minute - 1, func(time.Time) {}, quarantine.Quarantined, 1},
		{"forgotten", 24*time.Hour + 6*time.Minute, func(time.Time) {}, quarantine.Free, 0},
	}
	for _, s := range steps {
		now := at(s.at)
		s.do(now)
		if d := table.Decide(now, digest); d.State != s.want || d.Wait != s.wait {
			t.Errorf("%s: got %s for %s, want %s for %s", s.name, d.State, d.Wait, s.want, s.wait)
		}
	}
}

// TestCompleteResponseClears guards against a request that servers complete staying suspect,
// or becoming so again by what other gateways knew before.
func TestCompleteResponseClears(t *testing.T) {
	digest, now := modelDigest(1), time.Unix(1000, 0)
	a, b := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	for n := range 3 {
		s, _ := crash(a, now, digest, n)
		b.Merge(now, []mustardsaddle.RequestSuspicion{s})
	}
	if got := b.Decide(now, digest).State; got != quarantine.Quarantined {
		t.Fatalf("after three crashes at another gateway: got %s, want %s", got, quarantine.Quarantined)
	}
	old := b.Suspicions(now)
	cleared, changed := a.RecordCompleted(now, digest)
	if !changed {
		t.Fatal("got no change by a complete response")
	}
	b.Merge(now, []mustardsaddle.RequestSuspicion{cleared})
	a.Merge(now, old)
	for name, table := range map[string]*quarantine.Table{"own": a, "other": b} {
		if got := table.Decide(now, digest).State; got != quarantine.Free || table.Concerns(7) {
			t.Errorf("%s gateway after a complete response: got %s, concerns %t", name, got, table.Concerns(7))
		}
	}
}

// TestManyRequestsDoNotEvictQuarantine guards against a caller who makes many requests
// suspect pushing out quarantined ones.
func TestManyRequestsDoNotEvictQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	table := quarantine.New(quarantine.Config{})
	for n := range 3 {
		crash(table, now, modelDigest(0), n)
	}
	const requests = 5000
	for n := range requests {
		crash(table, now.Add(time.Duration(n)*time.Millisecond), modelDigest(1+n), n)
	}
	if got := table.Decide(now, modelDigest(0)).State; got != quarantine.Quarantined {
		t.Errorf("after %d other suspect requests: got %s, want %s", requests, got, quarantine.Quarantined)
	}
	if got := table.Counts(); got.Suspect != 256 || got.Quarantined != 1 {
		t.Errorf("got %+v, want 256 suspect and 1 quarantined", got)
	}
}

// TestDisabled checks that a table that is disabled knows nothing.
func TestDisabled(t *testing.T) {
	now := time.Unix(1000, 0)
	table := quarantine.New(quarantine.Config{Crashes: -1})
	for n := range 4 {
		if _, changed := crash(table, now, modelDigest(0), n); changed {
			t.Error("got a suspicion of a disabled table")
		}
	}
	s, _ := mustardsaddle.RequestSuspicion{Digest: modelDigest(0)}.WithCrash(instance(1))
	if added := table.Merge(now, []mustardsaddle.RequestSuspicion{s}); len(added) > 0 || table.Decide(now, modelDigest(0)).State != quarantine.Free {
		t.Errorf("got %+v from a disabled table", added)
	}
}
