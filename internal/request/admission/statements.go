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

// restrictions are the servers of one service, other than leaving ones, that have stated
// that they do not take every request.
type restrictions struct {
	// limited holds the servers with a limit that may get a request now.
	limited []string
	// excluded holds the servers that may not get a request now, because of their limit
	// or because they asked for a pause.
	excluded []string
	// wait is the time until the first one of excluded may get a request.
	wait time.Duration
}

// pause is the time until which one incarnation of a server wants no request of this
// gateway.
type pause struct {
	incarnation int64
	until       time.Time
}

// statements holds what the servers of all services state, and this gateway's shares of
// their limits. It is safe for concurrent use.
type statements struct {
	// limited is the number of servers that limit the rate of their requests, paused the
	// number of entries of pauses, and stated the number of entries of table. They let
	// calls skip the lock while no server states anything.
	limited, paused, stated atomic.Int64

	mu     sync.Mutex
	table  *statement.Table
	quotas *quota.Quotas
	// byService holds the names of the limited servers of each service that has any.
	byService map[string][]string
	// pauses holds the newest pause of each server that has asked for one.
	pauses map[string]pause
	// unreadable holds the incarnation of each server of which an unreadable statement
	// was logged.
	unreadable map[string]int64
}

func newStatements() *statements {
	return &statements{
		table: statement.NewTable(), quotas: quota.New(),
		byService: make(map[string][]string), pauses: make(map[string]pause), unreadable: make(map[string]int64),
	}
}

// setServers replaces the known servers of a service.
func (s *statements) setServers(now time.Time, service string, servers []mustardsaddle.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetServers(now, service, servers)
	for name := range s.unreadable {
		if _, known := s.table.Server(name); !known {
			delete(s.unreadable, name)
		}
	}
	for name, p := range s.pauses {
		if server, known := s.table.Server(name); !known || server.Incarnation != p.incarnation {
			delete(s.pauses, name)
		}
	}
	s.paused.Store(int64(len(s.pauses)))
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
	s.stated.Store(int64(s.table.Len()))
	if len(names) == 0 {
		delete(s.byService, service)
		return
	}
	s.byService[service] = names
}

// observe records the statement in a response. It returns the version to send to the
// peers, and true if the statement is new.
func (s *statements) observe(now time.Time, service string, r Response, stated mustardsaddle.Statement) (mustardsaddle.ServerStatement, bool) {
	if stated == (mustardsaddle.Statement{}) && s.stated.Load() == 0 {
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
	if s.stated.Load() == 0 {
		return mustardsaddle.Statement{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Statement(now, server)
}

// withLeaving returns the servers, of which those that have stated that they are leaving
// are marked so.
func (s *statements) withLeaving(now time.Time, servers []mustardsaddle.Server) []mustardsaddle.Server {
	marked := slices.Clone(servers)
	for i, server := range marked {
		if stated, _ := s.get(now, server); stated.Leaving {
			server.MayReturn = false
			marked[i] = server.WithLeaving(true)
		}
	}
	return marked
}

// setPause records that a server wants no request for d, and reports whether a pause
// begins. A shorter pause does not end a longer one.
func (s *statements) setPause(now time.Time, server mustardsaddle.Server, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := pause{incarnation: server.Incarnation, until: now.Add(d)}
	known := s.pauses[server.Name]
	if known.incarnation > next.incarnation || known.incarnation == next.incarnation && known.until.After(next.until) {
		return false
	}
	s.pauses[server.Name] = next
	s.paused.Store(int64(len(s.pauses)))
	return known.incarnation != next.incarnation || !now.Before(known.until)
}

// restrictions returns which servers of a service do not take every request.
func (s *statements) restrictions(now time.Time, service string) restrictions {
	r := restrictions{wait: quota.Never}
	if s.limited.Load() == 0 && s.paused.Load() == 0 {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pauses {
		if s.endPause(now, name, p) {
			continue
		}
		if server, _ := s.table.Server(name); server.Service == service {
			r.exclude(name, p.until.Sub(now))
		}
	}
	for _, name := range s.byService[service] {
		server, _ := s.table.Server(name)
		if _, isPaused := s.pauses[name]; isPaused || server.Leaving {
			continue
		}
		if wait := s.quotas.Wait(now, name); wait > 0 {
			r.exclude(name, wait)
			continue
		}
		r.limited = append(r.limited, name)
	}
	return r
}

// exclude adds a server that may get a request after wait.
func (r *restrictions) exclude(server string, wait time.Duration) {
	r.excluded = append(r.excluded, server)
	r.wait = min(r.wait, wait)
}

// endPause forgets a pause that is over, and reports whether it is. The caller holds mu.
func (s *statements) endPause(now time.Time, server string, p pause) bool {
	if now.Before(p.until) {
		return false
	}
	delete(s.pauses, server)
	s.paused.Store(int64(len(s.pauses)))
	return true
}

// take takes a token for a request to a server. It returns false if the server may not get
// a request now, because of its limit or because it asked for a pause.
func (s *statements) take(now time.Time, server string) bool {
	if s.limited.Load() == 0 && s.paused.Load() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pauses[server]; ok && now.Before(p.until) {
		return false
	}
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

// Statement returns what a server states, and the time for which that has been known.
func (c *Controller) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	return c.controllers.statements.get(now, server)
}

// StatementCounts are numbers of servers by what they have stated.
type StatementCounts struct {
	// Limited counts the servers that limit the rate of their requests, Leaving those that
	// state that they are leaving, and Paused those that want no request of this gateway
	// for a time.
	Limited, Leaving, Paused int
}

// StatementCounts returns how many servers restrict their requests.
func (cs *Controllers) StatementCounts(now time.Time) StatementCounts {
	s := cs.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pauses {
		s.endPause(now, name, p)
	}
	return StatementCounts{Limited: int(s.limited.Load()), Leaving: s.table.Leaving(), Paused: len(s.pauses)}
}

// MergeStatements records statements of servers from a peer. It returns those that were
// new, which have yet to be sent to the other peers.
func (cs *Controllers) MergeStatements(now time.Time, received []mustardsaddle.ServerStatement) []mustardsaddle.ServerStatement {
	var added []mustardsaddle.ServerStatement
	for _, m := range cs.statements.merge(now, received) {
		cs.logStatement(m.service, m.ServerStatement, sourcePeer)
		added = append(added, m.ServerStatement)
		if c := cs.Get(m.service); c != nil && m.Statement.Leaving {
			c.markLeaving(now)
		}
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
