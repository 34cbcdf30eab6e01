package link_test

import (
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// TestHeartbeatFollowsQueuedMessages guards against a heartbeat that overtakes a change of the
// rules which it already counts, so that the peer requests all rules although the change follows.
func TestHeartbeatFollowsQueuedMessages(t *testing.T) {
	const heartbeats = 10
	a, b, _ := startPair(t, fastTiming())
	var changed, early, seen int64
	b.mu.Lock()
	b.onMessage = func(msg news.Message) {
		switch m := msg.(type) {
		case news.RuleChange:
			changed = m.To
		case news.Heartbeat:
			seen++
			if m.Summary.Generation > changed {
				early++
			}
		}
	}
	b.mu.Unlock()
	a.mu.Lock()
	a.onSummary = a.publishChange
	a.mu.Unlock()
	waitFor(t, "heartbeats", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return seen >= heartbeats
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if early > 0 {
		t.Errorf("got %d of %d heartbeats before the change that they count, want none", early, seen)
	}
}
