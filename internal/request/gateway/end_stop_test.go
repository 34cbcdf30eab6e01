package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestStopEndsCallsVisibly guards against a stop that ends a call without an answer, or cuts its response without a log
// line that names the request.
func TestStopEndsCallsVisibly(t *testing.T) {
	rows := []endRow{
		{name: "no response yet", send: endRequest(getRequest, endID, ""), serve: standsAfter(""), want: "502 4013 Unknown", last: true},
		{name: "response has begun", send: endRequest(getRequest, endID, ""), serve: standsAfter(oneChunk), want: "cut 200", last: true},
		{name: "request ends in time", send: endRequest(getRequest, endID, ""), serve: answersLate, want: "200", last: true},
		{name: "body not received", send: endRequest(postRequest, endID, "Content-Length: 100\r\n\r\nbegin"), want: "503 4013 NotRun|400 4007 NotRun", last: true},
	}
	for _, row := range rows {
		for _, behind := range []bool{false, true} {
			if behind && row.partOfBody() {
				continue
			}
			t.Run(fmt.Sprintf("%s, one behind %v", row.name, behind), func(t *testing.T) {
				t.Parallel()
				g := newEndGateway(t, gateway.Config{Deadline: time.Minute}, newEndServer(t, row.serve), false)
				g.SetRules(compileRules(t, "Path=/* Service=Booking # Ana: all\n"))
				c := g.dial(t)
				next := ""
				if behind {
					next = endRequest(getRequest, behindID, "")
				}
				c.send(t, row.send, next)
				for g.InFlight() == 0 || row.serve != nil && g.server.requests(endID) == 0 {
					time.Sleep(time.Millisecond)
				}
				row.stop(t, g)
				if got := c.next(); !strings.Contains("|"+row.want+"|", "|"+got+"|") {
					t.Fatalf("got %s, want %s", got, row.want)
				}
				row.checkNext(t, c.next(), false)
				row.checkTraces(t, g)
			})
		}
	}
}

// answerPause is the time after which answersLate responds.
const answerPause = 200 * time.Millisecond

// stop begins a stop, and ends the calls that it does not wait for.
func (row endRow) stop(t *testing.T, g *endGateway) {
	g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
	time.Sleep(answerPause / 2) // a response that has begun has arrived
	if row.want != "200" {
		g.EndCalls()
	}
	ended := make(chan error, 1)
	go func() { ended <- g.Shutdown(context.Background(), g.front.Config) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("shutdown: got %v", err)
		}
	})
}
