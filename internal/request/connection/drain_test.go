package connection_test

import (
	"context"
	"testing"
	"time"
)

// TestDrainAwaitsStalledReader guards against a shutdown that ends before a request which has
// arrived was read.
func TestDrainAwaitsStalledReader(t *testing.T) {
	const stalled = 200 * time.Millisecond
	s := &stalledServer{handle: func() {}}
	s.whenIdle = func() {
		s.whenIdle = func() {}
		s.ln.after.close()
	}
	c := s.start(t, time.Hour)
	c.send(t, requestStart+requestEnd)
	c.expectResponse(t)
	c.send(t, requestStart+requestEnd)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.idle.Drain(context.Background(), func() int { return 0 })
	}()
	select {
	case <-drained:
		t.Error("got an end of the shutdown, want it to wait for the request")
	case <-time.After(stalled):
	}
	s.ln.after.open()
	c.expectResponse(t)
	c.expectEnd(t)
	<-drained
}
