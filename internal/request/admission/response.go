package admission

import (
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

// Sources of statements, as logged.
const (
	sourceResponse  = "Response"
	sourceLoadQuery = "LoadQuery"
	sourcePeer      = "Peer"
)

// Response is the header of a server's response to an attempt or to a load query.
type Response struct {
	// Server is the server that responded.
	Server mustardsaddle.Server
	// Header is the response header.
	Header http.Header
	// Status is the status of the response.
	Status int
	// SentAt is when the attempt or the load query was sent.
	SentAt time.Time
	// LoadQuery is true for the response to a load query.
	LoadQuery bool
}

// source returns the source of the statement in the response, as logged.
func (r Response) source() string {
	if r.LoadQuery {
		return sourceLoadQuery
	}
	return sourceResponse
}

// observeStatement processes what a response states about the requests that its server
// takes.
func (c *Controller) observeStatement(now time.Time, r Response) {
	cs := c.controllers
	c.observePause(now, r)
	stated, err := statement.Parse(cs.cfg.Headers, r.Header)
	if err != nil {
		c.reportUnreadable(r, err)
	}
	// The response to a load query may lack a limit that other responses have, and an
	// unreadable limit changes nothing.
	if !stated.Limited && (r.LoadQuery || err != nil) {
		if !stated.Leaving {
			return
		}
		known, _ := cs.statements.get(now, r.Server)
		stated = known.WithLeaving(true)
	}
	next, changed := cs.statements.observe(now, c.Service, r, stated)
	if !changed {
		return
	}
	cs.logStatement(c.Service, next, r.source())
	if next.Statement.Leaving {
		c.markLeaving(now)
	}
	if cs.cfg.OnStatement != nil {
		cs.cfg.OnStatement(next)
	}
}

// observePause processes the pause that a server asks for in a response.
func (c *Controller) observePause(now time.Time, r Response) {
	d, err := statement.ParsePause(now, r.Status, r.Header)
	if err != nil {
		c.reportUnreadable(r, err)
	}
	if d <= 0 {
		return
	}
	if !c.controllers.statements.setPause(now, r.Server, d) {
		return
	}
	event.Info(c.controllers.cfg.Logger, event.ServerPause).Str("Service", c.Service).Str("Server", r.Server.Name).
		Int64("Incarnation", r.Server.Incarnation).Dur("For", d).Str("Source", r.source()).Send()
}

// reportUnreadable counts an unreadable statement, and logs the first one of each
// incarnation of a server.
func (c *Controller) reportUnreadable(r Response, err error) {
	c.Metrics.BadStatements.Inc(1)
	if c.controllers.statements.firstUnreadable(r.Server) {
		event.Warn(c.controllers.cfg.Logger, event.ServerStatementBad).Str("Service", c.Service).Str("Server", r.Server.Name).
			Str("Source", r.source()).Err(err).Send()
	}
}

// logStatement logs that a server's statement has changed.
func (cs *Controllers) logStatement(service string, s mustardsaddle.ServerStatement, source string) {
	event.Info(cs.cfg.Logger, event.ServerStatement).Str("Service", service).Str("Server", s.Name).
		Int64("Incarnation", s.Incarnation).Int64("Seq", s.Seq).Bool("Leaving", s.Statement.Leaving).
		Bool("Limited", s.Statement.Limited).Float64("PerSecond", s.Statement.PerSecond).Str("Source", source).Send()
}
