package isolation_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/isolation"
)

// digest returns the digest of the nth request.
func digest(n int) mustardsaddle.RequestDigest {
	var d mustardsaddle.RequestDigest
	binary.BigEndian.PutUint64(d[:], uint64(n)+1)
	return d
}

// crash is the end of the nth instance under a request.
func crash(d mustardsaddle.RequestDigest, n int) quarantine.Crash {
	return quarantine.Crash{Digest: d, Service: "Booking", Instance: mustardsaddle.Instance{Name: "booking", Incarnation: int64(n)}}
}

// TestOneRunAtATime guards against two runs of a suspect request proceeding in one gateway.
func TestOneRunAtATime(t *testing.T) {
	i := isolation.New(isolation.Config{Name: "gateway-1"})
	leave, ok := i.Enter(context.Background(), digest(1), time.Second)
	if !ok {
		t.Fatal("got no turn for the first run")
	}
	if _, ok := i.Enter(context.Background(), digest(1), time.Millisecond); ok {
		t.Error("got a turn for a second run of the same request")
	}
	other, ok := i.Enter(context.Background(), digest(2), time.Second)
	if !ok {
		t.Fatal("got no turn for another request")
	}
	other()
	leave()
	leave()
	again, ok := i.Enter(context.Background(), digest(1), time.Second)
	if !ok {
		t.Fatal("got no turn after the first run has ended")
	}
	again()
}

// TestGatewaysAgreeOnSender guards against two gateways sending a suspect request because
// they do not agree on which one does.
func TestGatewaysAgreeOnSender(t *testing.T) {
	fleet := []mustardsaddle.VM{{Name: "gateway-1"}, {Name: "gateway-2"}, {Name: "gateway-3"}, {Name: "gateway-4", Leaving: true}}
	seen := make(map[string]bool)
	for n := range 50 {
		var want []string
		for _, self := range fleet[:3] {
			i := isolation.New(isolation.Config{Name: self.Name})
			i.SetFleet(fleet)
			got := i.Senders(digest(n))
			if len(got) != 2 || want != nil && (got[0] != want[0] || got[1] != want[1]) {
				t.Fatalf("%s: got senders %v, want %v", self.Name, got, want)
			}
			want = got
		}
		seen[want[0]] = true
	}
	if len(seen) != 3 || seen["gateway-4"] {
		t.Errorf("got first senders %v, want the three gateways that are not leaving", seen)
	}
}

// TestManySuspectsArePassedOnSlowly guards against gateways overloading their links when very
// many servers end at once, and against a quarantine waiting for that.
func TestManySuspectsArePassedOnSlowly(t *testing.T) {
	now, passedOn := time.Unix(1000, 0), 0
	i := isolation.New(isolation.Config{Name: "gateway-1", OnSuspicion: func(mustardsaddle.RequestSuspicion) { passedOn++ }})
	for n := range 1000 {
		i.RecordCrash(now, crash(digest(n), n))
	}
	if passedOn != 100 {
		t.Errorf("got %d suspicions passed on at once, want 100", passedOn)
	}
	for n := range 3 {
		i.RecordCrash(now, crash(digest(5000), n))
	}
	if passedOn != 101 {
		t.Errorf("got %d passed on after a quarantine, want 101", passedOn)
	}
}
