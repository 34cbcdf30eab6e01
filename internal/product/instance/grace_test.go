package instance_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

// TestStopEndsWithinGrace stops a gateway that has a grace period, while a call does
// not finish and a connected caller sends nothing. Without the time limit on the stop,
// the process would still be running when the platform kills it.
func TestStopEndsWithinGrace(t *testing.T) {
	s := newCluster(t, 0)
	s.configure = func(cfg *settings.Settings) { cfg.Stop.Grace = time.Second }
	release := make(chan struct{})
	var arrived atomic.Int64
	s.startServer("booking-00", blockingHandler(release, &arrived))
	s.submit(initialRules + "Path=/held Service=Booking Deadline=1m # Mei Lin: members wait\n")
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	idle, err := net.Dial("tcp", g.addresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	results := make(chan error, 1)
	go func() { results <- checkResponse("http://" + g.addresses.Callers + "/held") }()
	eventually(t, waitTimeout, "call in flight", func() bool { return arrived.Load() > 0 })
	g.stop()
	if err := g.wait(); code.Of(err) != code.StopCut {
		t.Errorf("got error %v, want code StopCut", err)
	}
	close(release)
	if err := <-results; err == nil {
		t.Error("got a complete response to an aborted call, want an error")
	}
}
