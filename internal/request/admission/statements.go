package admission

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
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

// limitedServers are the servers of one service that limit the rate of their requests
// and are not leaving.
type limitedServers struct {
	// available may get a request now, exhausted may not.
	available, exhausted []string
	// wait is the time until the first one of exhausted may get a request.
	wait time.Duration
}

// statements holds what the servers of all services state, and this gateway's shares of
// their limits. It is safe for concurrent use.
type statements struct {
	// limited is the number of servers that limit the rate of their requests.
	limited atomic.Int64

	mu     sync.Mutex
	table  *statement.Table
	quotas *quota.Quotas
	// byService holds the names of the limited servers of each service that has any.
	byService map[string][]string
	// unreadable holds the incarnation of each server of which an unreadable statement
	// was logged.
	unreadable map[string]int64
}

func newStatements() *statements {
	return &statements{
		table: statement.NewTable(), quotas: quota.New(),
		byService: make(map[string][]string), unreadable: make(map[string]int64),
	}
}

// setServers replaces the known servers of a service.
func (s *statements) setServers(now time.Time, service string, servers []mustardsaddle.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetServers(service, servers)
	for name := range s.unreadable {
		if _, known := s.table.Server(name); !known {
			delete(s.unreadable, name)
		}
	}
	s.update(now, service)
}

// setFleet replaces the gateways that share the limits.
func (s *statements) setFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas.SetFleet(now, self, gateways)
}

// update adapts the quotas to the statements of the servers of a service. The caller
// holds mu.
func (s *statements) update(now time.Time, service string) {
	old := s.byService[service]
	limited := s.table.Limited(service)
	names := make([]string, len(limited))
	for i, l := range limited {
		names[i] = l.Name
		s.quotas.Set(now, l.Name, l.Statement)
	}
	for _, name := range old {
		if !slices.Contains(names, name) {
			s.quotas.Set(now, name, mustardsaddle.Statement{})
		}
	}
	s.limited.Add(int64(len(names) - len(old)))
	if len(names) == 0 {
		delete(s.byService, service)
		return
	}
	s.byService[service] = names
}

// observe records the statement in a response. It returns the version to send to the
// peers, and true if the statement is new.
func (s *statements) observe(now time.Time, service string, r Response, stated mustardsaddle.Statement) (mustardsaddle.ServerStatement, bool) {
	if !stated.Limited && s.limited.Load() == 0 {
		return mustardsaddle.ServerStatement{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next, changed := s.table.Observe(now, statement.Evidence{Server: r.Server, Stated: stated, SentAt: r.SentAt})
	if changed {
		s.update(now, service)
	}
	return next, changed
}

// mergedStatement is a statement from a peer that was new.
type mergedStatement struct {
	mustardsaddle.ServerStatement
	// service is the service of the server; empty if the server is not known yet.
	service string
}

// merge records statements from a peer and returns those that were new.
func (s *statements) merge(now time.Time, received []mustardsaddle.ServerStatement) []mergedStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var merged []mergedStatement
	for _, added := range s.table.Merge(now, received) {
		server, _ := s.table.Server(added.Name)
		merged = append(merged, mergedStatement{ServerStatement: added, service: server.Service})
	}
	services := make(map[string]bool)
	for _, m := range merged {
		services[m.service] = true
	}
	for service := range services {
		s.update(now, service)
	}
	return merged
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

// limitedServers returns the limited servers of a service.
func (s *statements) limitedServers(now time.Time, service string) limitedServers {
	l := limitedServers{wait: quota.Never}
	if s.limited.Load() == 0 {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.byService[service] {
		if server, _ := s.table.Server(name); server.Leaving {
			continue
		}
		wait := s.quotas.Wait(now, name)
		if wait == 0 {
			l.available = append(l.available, name)
			continue
		}
		l.exhausted = append(l.exhausted, name)
		l.wait = min(l.wait, wait)
	}
	return l
}

// take takes a token for a request to a server. It returns false if the server limits its
// requests and may not get one now.
func (s *statements) take(now time.Time, server string) bool {
	if s.limited.Load() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas.Take(now, server)
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
		return
	}
	if r.LoadQuery && !stated.Limited {
		return
	}
	next, changed := cs.statements.observe(now, c.Service, r, stated)
	if !changed {
		return
	}
	cs.logStatement(c.Service, next, r.source())
	if cs.cfg.OnStatement != nil {
		cs.cfg.OnStatement(next)
	}
}

// logStatement logs that a server's statement has changed.
func (cs *Controllers) logStatement(service string, s mustardsaddle.ServerStatement, source string) {
	event.Info(cs.cfg.Logger, event.ServerStatement).Str("Service", service).Str("Server", s.Name).
		Int64("Incarnation", s.Incarnation).Int64("Seq", s.Seq).Bool("Limited", s.Statement.Limited).
		Float64("PerSecond", s.Statement.PerSecond).Str("Source", source).Send()
}

// Statement returns what a server states, and the time for which that has been known.
func (c *Controller) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	return c.controllers.statements.get(now, server)
}

// LimitedServers returns the number of servers that limit the rate of their requests.
func (cs *Controllers) LimitedServers() int {
	return int(cs.statements.limited.Load())
}

// MergeStatements records statements of servers from a peer. It returns those that were
// new, which have yet to be sent to the other peers.
func (cs *Controllers) MergeStatements(now time.Time, received []mustardsaddle.ServerStatement) []mustardsaddle.ServerStatement {
	var added []mustardsaddle.ServerStatement
	for _, m := range cs.statements.merge(now, received) {
		cs.logStatement(m.service, m.ServerStatement, sourcePeer)
		added = append(added, m.ServerStatement)
	}
	return added
}

// Statements returns the newest statements of all known servers.
func (cs *Controllers) Statements() []mustardsaddle.ServerStatement {
	cs.statements.mu.Lock()
	defer cs.statements.mu.Unlock()
	return cs.statements.table.Statements()
}

// StatementsDigest returns a digest that is equal for gateways that know the same limits.
func (cs *Controllers) StatementsDigest() uint64 {
	cs.statements.mu.Lock()
	defer cs.statements.mu.Unlock()
	return cs.statements.table.Digest()
}
