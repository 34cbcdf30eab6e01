package instance_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

// TestStopEndsWithinGrace stops a gateway that the platform kills after a while, with
// a call that does not end and a caller that has connected and says nothing. Without
// the limit the process would still run when it is killed.
func TestStopEndsWithinGrace(t *testing.T) {
	s := newSystem(t, 0)
	s.change = func(cfg *settings.Settings) { cfg.Stop.Grace = time.Second }
	release := make(chan struct{})
	var arrived atomic.Int64
	s.addHost("booking-00", held(release, &arrived))
	s.submit(firstRules + "Path=/held Service=Booking Deadline=1m # Mei Lin: members wait\n")
	g := s.addGateway("gateway-1")
	eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	silent, err := net.Dial("tcp", g.addresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	ends := make(chan error, 1)
	go func() { ends <- answered("http://" + g.addresses.Callers + "/held") }()
	eventually(t, patience, "a call in flight", func() bool { return arrived.Load() > 0 })
	g.stop()
	if err := g.end(); code.Of(err) != code.StopCut {
		t.Errorf("got end %v, want one that says that a call was cut", err)
	}
	close(release)
	if err := <-ends; err == nil {
		t.Error("got a whole answer of a call that was cut, want an error")
	}
}
