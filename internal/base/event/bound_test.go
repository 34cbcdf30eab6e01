package event_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// TestLinesOfEveryEventAreBounded guards against a log that grows with the size of the fleet
// or with a state that changes back and forth.
func TestLinesOfEveryEventAreBounded(t *testing.T) {
	const (
		seconds    = 20
		offered    = 100_000 // lines a second
		maxLines   = 2000 + 200*seconds
		maxOfCalls = 20_000 + 10_000*seconds
	)
	start := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		event event.Event
		most  int
	}{{event.PeerReach, maxLines}, {event.ServerOut, maxLines}, {event.RouteChosen, maxOfCalls}} {
		t.Run(tt.event.String(), func(t *testing.T) {
			b := event.NewBounds()
			written, omitted := 0, int64(0)
			for i := range seconds * offered {
				now := start.Add(time.Duration(i) * time.Second / offered)
				if b.Allow(now, tt.event) {
					written++
				}
			}
			for _, o := range b.TakeOmitted(start.Add(seconds * time.Second)) {
				omitted += o.Lines
			}
			if written > tt.most || written < tt.most/2 {
				t.Errorf("got %d lines, want at most %d and at least half of that", written, tt.most)
			}
			if int64(written)+omitted != seconds*offered {
				t.Errorf("got %d lines written and %d omitted, want %d in all", written, omitted, seconds*offered)
			}
		})
	}
}

// TestOmittedLinesAreCounted guards against lines that are missing from the log without a
// line that says so.
func TestOmittedLinesAreCounted(t *testing.T) {
	const lines = 3000
	var out bytes.Buffer
	logger := event.NewLogger(&out, "info", "gateway-1")
	for range lines {
		event.Info(logger, event.PeerReach).Send()
	}
	event.Info(logger, event.Started).Send()
	text := out.String()
	if n := strings.Count(text, `"Name":"PeerReach"`); n >= lines {
		t.Errorf("got %d lines of PeerReach, want fewer than %d", n, lines)
	}
	if want := `"Name":"LinesOmitted","Of":"PeerReach","Lines":`; strings.Count(text, want) != 1 {
		t.Errorf("got no line with %s, or several", want)
	}
	if !strings.Contains(text, `"Name":"Started"`) {
		t.Error("got no Started line, which is no PeerReach")
	}
}
