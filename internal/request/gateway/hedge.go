package gateway

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// sendHedged sends an attempt, and a hedge beside it if the response is late. It
// returns the attempt that was answered. If neither was, it returns the first one,
// or the hedge if the first one ended as NotRun.
func (c *call) sendHedged(a *attempt) *attempt {
	delay, ok := c.hedgeDelay()
	if !ok {
		c.send(a)
		return a
	}
	ended := make(chan *attempt, 1)
	timer := time.AfterFunc(delay, func() { ended <- c.tryHedge(a) })
	c.send(a)
	if timer.Stop() {
		return a
	}
	if h := <-ended; h != nil && (h.outcome == mustardsaddle.Ran || a.outcome == mustardsaddle.NotRun) {
		return h
	}
	return a
}

// hedgeDelay returns the delay after which a hedge is sent, and false if there is
// none.
func (c *call) hedgeDelay() (time.Duration, bool) {
	if c.match.repeat != mustardsaddle.RepeatYes || c.body.Streamed() || c.isolated {
		return 0, false
	}
	return c.match.controller.HedgeDelay()
}

// sendHedge sends a second attempt on a new connection to another server. It
// returns nil if no hedge was permitted.
func (c *call) sendHedge(primary *attempt) *attempt {
	assigned, refused := c.admit()
	if refused != nil {
		return nil
	}
	assigned.Kind = booking.Hedge
	h := c.newAttempt(assigned, newConnection)
	c.track(h)
	c.send(h)
	if h.outcome == mustardsaddle.Ran {
		primary.cancel(errSuperseded)
	}
	return h
}
