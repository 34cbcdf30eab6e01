package admission

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

// Sources of statements, as logged.
const (
	sourceResponse  = "Response"
	sourceLoadQuery = "LoadQuery"
)

// Response is the header of a server's response to an attempt or to a load query.
type Response struct {
	// Server is the server that responded.
	Server mustardsaddle.Server
	// Header is the response header.
	Header http.Header
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

// statements holds what the servers of all services state. It is safe for concurrent
// use.
type statements struct {
	// limited is the number of servers that limit the rate of their requests.
	limited atomic.Int64

	mu    sync.Mutex
	table *statement.Table
	// unreadable holds the incarnation of each server of which an unreadable statement
	// was logged.
	unreadable map[string]int64
}

func newStatements() *statements {
	return &statements{table: statement.NewTable(), unreadable: make(map[string]int64)}
}

// observe records the statement in a response, and reports whether it is new.
func (s *statements) observe(now time.Time, r Response, stated mustardsaddle.Statement) bool {
	if !stated.Limited && s.limited.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.Observe(now, statement.Evidence{Server: r.Server, Stated: stated, SentAt: r.SentAt})
	s.limited.Store(int64(s.table.Limited()))
	return changed
}

// get returns the statement of a server, and the time for which it has been known.
func (s *statements) get(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	if s.limited.Load() == 0 {
		return mustardsaddle.Statement{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Statement(now, server)
}

// firstUnreadable reports whether an unreadable statement is the first one of this
// incarnation of the server.
func (s *statements) firstUnreadable(server mustardsaddle.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadable[server.Name] == server.Incarnation {
		return false
	}
	s.unreadable[server.Name] = server.Incarnation
	return true
}

// observeStatement processes the statement in a response. The response to a load query
// may lack a statement that the server's other responses have.
func (c *Controller) observeStatement(now time.Time, r Response) {
	cs := c.controllers
	stated, err := statement.Parse(cs.cfg.Headers, r.Header)
	if err != nil {
		c.Metrics.BadStatements.Inc(1)
		if cs.statements.firstUnreadable(r.Server) {
			event.Warn(cs.cfg.Logger, event.ServerStatementBad).Str("Service", c.Service).Str("Server", r.Server.Name).
				Str("Source", r.source()).Err(err).Send()
		}
	}
	if r.LoadQuery && !stated.Limited {
		return
	}
	if cs.statements.observe(now, r, stated) {
		c.logStatement(r.Server, stated, r.source())
	}
}

// logStatement logs that a server's statement has changed.
func (c *Controller) logStatement(server mustardsaddle.Server, stated mustardsaddle.Statement, source string) {
	event.Info(c.controllers.cfg.Logger, event.ServerStatement).Str("Service", c.Service).Str("Server", server.Name).
		Int64("Incarnation", server.Incarnation).Bool("Limited", stated.Limited).Float64("PerSecond", stated.PerSecond).
		Str("Source", source).Send()
}

// Statement returns what a server states, and the time for which that has been known.
func (c *Controller) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	return c.controllers.statements.get(now, server)
}

// LimitedServers returns the number of servers that limit the rate of their requests.
func (cs *Controllers) LimitedServers() int {
	return int(cs.statements.limited.Load())
}
