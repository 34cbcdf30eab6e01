package gateway_test

import (
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestCallIsAnsweredWhenItsPeerEnds guards against a call without an answer because the connection to the gateway that
// carries it ends: unread, half read, or within its response.
func TestCallIsAnsweredWhenItsPeerEnds(t *testing.T) {
	faults := map[string]fault{
		"reset within request": {upBytes: 20}, "closed within request": {upBytes: 20, halfClose: true},
		"reset at response start": {downBytes: 1}, "reset within response": {downBytes: 60},
		"closed within response": {downBytes: 60, halfClose: true}, "silent within response": {downBytes: 60, freeze: true},
		"sound": {},
	}
	sends := map[string]string{
		"GET": endRequest(getRequest, endID, ""), "kept body": endRequest(postRequest, endID, "Content-Length: 5\r\n\r\nbegin"),
		"streamed body": endRequest(postRequest, endID, wholeChunkBody),
	}
	for name, f := range faults {
		for kind, send := range sends {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				g := newEndGateway(t, gateway.Config{}, newEndServer(t, nil), true)
				c := g.dial(t)
				c.send(t, endRequest(getRequest, beforeID, ""))
				if got := c.next(); got != "200" {
					t.Fatalf("request before: got %s, want 200", got)
				}
				g.breakPeers(t, f)
				c.send(t, send)
				got := c.next()
				if want := name == "sound"; want != (got == "200") || len(strings.Fields(got)) != 3 && !want {
					t.Errorf("got %s, want a refusal with a code, or 200 if the peer is sound", got)
				}
				if lines := g.log.waitResults(endID, 1); len(lines) == 0 {
					t.Error("got no log line about the end of the call")
				}
			})
		}
	}
}
