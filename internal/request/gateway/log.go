package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

// requestID returns the caller's request ID, or "" if there is none.
func (g *Gateway) requestID(r *http.Request) string {
	if g.cfg.Headers.RequestID == "" {
		return ""
	}
	return r.Header.Get(g.cfg.Headers.RequestID)
}

// withRequestID adds the caller's request ID, if there is one, to a log event.
func (g *Gateway) withRequestID(line *zerolog.Event, r *http.Request) *zerolog.Event {
	if id := g.requestID(r); id != "" {
		line = line.Str("Request", id)
	}
	return line
}

// logRoute logs a routing decision with its inputs.
func (c *call) logRoute(a *attempt) {
	if a.through != nil {
		c.logForward(a)
		return
	}
	choice := a.assignment.Choice
	line := c.g.withRequestID(event.Info(c.g.cfg.Logger, event.RouteChosen), c.r).Str("Attempt", a.id).
		Int64("Generation", c.match.generation).Str("Service", c.match.controller.Service).Str("Server", choice.Server.Name).
		Str("Reason", choice.Reason).Str("Kind", a.assignment.Kind.String()).Dur("Queued", a.assignment.Queued).
		Dur("Left", time.Until(c.deadline))
	if !choice.Report.At.IsZero() {
		line = line.Int("Busy", choice.Report.InFlight).Int("Slots", choice.Report.Slots).
			Float64("Slowness", choice.Report.Slowness).Dur("ReportAge", time.Since(choice.Report.At))
	}
	if stated, age := c.match.controller.Statement(time.Now(), choice.Server); stated.Limited {
		line = line.Float64("Limit", stated.PerSecond).Dur("LimitAge", age)
	}
	if a.assignment.Kind != booking.First {
		spent := a.assignment.Budget
		line = line.Int("Calls", spent.Calls).Int("Extra", spent.Extra).Float64("Slack", spent.Slack).Int("Gateways", spent.Gateways)
	}
	if name := c.match.name(); name != "" {
		line = line.Str("Customer", name)
	}
	if choice.Left != "" {
		line = line.Str("Zone", choice.Server.Zone).Str("Left", choice.Left)
	}
	if carried := c.match.carried; carried != nil {
		line = line.Str("From", carried.Gateway).Str("FromAttempt", carried.Attempt)
	}
	line.Send()
}

// logForward logs the decision to forward the call to another gateway.
func (c *call) logForward(a *attempt) {
	line := c.g.withRequestID(event.Info(c.g.cfg.Logger, event.RouteChosen), c.r).Str("Attempt", a.id).
		Int64("Generation", c.match.generation).Str("Service", c.match.controller.Service).Str(a.target()).
		Str("Reason", a.assignment.Choice.Reason).Str("Kind", "Forward").Int("Sent", a.sentBefore).Int("Attempts", a.granted).
		Dur("Left", time.Until(c.deadline))
	if name := c.match.name(); name != "" {
		line = line.Str("Customer", name)
	}
	line.Send()
}

// logAttempt logs an attempt that was not used for the response.
func (c *call) logAttempt(a *attempt) {
	line := c.g.withRequestID(event.Info(c.g.cfg.Logger, event.AttemptFailed), c.r).Str("Attempt", a.id).
		Str(a.target()).Int("Code", int(a.code())).Str("Outcome", a.outcome.String()).
		Dur("Took", a.latency)
	if a.resp != nil {
		line = line.Int("Status", a.resp.StatusCode)
	}
	if a.serverEnded {
		if digest, ok := c.body.KnownDigest(); ok {
			line = line.Stringer("Digest", digest)
		}
	}
	line.Err(a.err).Send()
}

// logResult logs the result of a call that was answered, and updates its metrics.
func (c *call) logResult(a *attempt, bytes int64) {
	c.settled = true
	c.countOutcome(mustardsaddle.Ran)
	c.match.controller.RecordResponseSize(bytes)
	c.match.controller.RecordRequestSize(c.r.ContentLength)
	c.recordCompleted(a)
	c.g.withRequestID(event.Info(c.g.cfg.Logger, event.CallEnded), c.r).Str("Attempt", a.id).Str("Service", c.match.controller.Service).
		Str(a.target()).Int("Status", a.resp.StatusCode).
		Str("Outcome", mustardsaddle.Ran.String()).Int64("Bytes", bytes).Dur("Took", time.Since(c.start)).Send()
}
