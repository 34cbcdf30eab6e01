package admission

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

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
	// cold holds the servers that are warming up.
	cold coldServers
}

func newStatements(cfg Config) *statements {
	return &statements{
		cold:  newColdServers(cfg),
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
	s.cold.setServers(now, service, servers)
}

// setFleet replaces the gateways that share the limits.
func (s *statements) setFleet(now time.Time, self string, gateways []mustardsaddle.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas.SetFleet(now, self, gateways)
	s.cold.shares.SetFleet(now, self, gateways)
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

// withLeaving returns a copy of the servers in which those that have stated that they are
// leaving are marked as leaving.
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

// Statement returns what a server states, and the time for which that has been known.
func (c *Controller) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	return c.controllers.statements.get(now, server)
}

// StatementCounts are numbers of servers by what they have stated.
type StatementCounts struct {
	// Limited counts the servers that limit the rate of their requests, Leaving those that
	// state that they are leaving, and Paused those that want no request of this gateway
	// for a time.
	// WarmingUp counts the servers that are warming up and limited because of that.
	Limited, Leaving, Paused, WarmingUp int
}

// StatementCounts returns how many servers restrict their requests.
func (cs *Controllers) StatementCounts(now time.Time) StatementCounts {
	s := cs.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pauses {
		s.endPause(now, name, p)
	}
	return StatementCounts{Limited: int(s.limited.Load()), Leaving: s.table.Leaving(), Paused: len(s.pauses), WarmingUp: s.cold.refreshAll(now)}
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

// StatementsDigest returns a digest that is equal for gateways that know the same
// statements in effect.
func (cs *Controllers) StatementsDigest() uint64 {
	cs.statements.mu.Lock()
	defer cs.statements.mu.Unlock()
	return cs.statements.table.Digest()
}
