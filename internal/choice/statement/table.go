package statement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// minRelaxInterval is the minimum time between the last change of a statement and one
	// that permits more requests, so that a limit that varies from response to response
	// costs few messages.
	minRelaxInterval = 250 * time.Millisecond
	// retainUnlisted is how long statements of servers that are not listed are kept. A
	// server that has left may be listed again for a moment.
	retainUnlisted = time.Minute
	// maxUnknownServers is the maximum number of statements that are kept about servers
	// that are not known yet.
	maxUnknownServers = 1024
)

// Evidence is a response of a server to this gateway.
type Evidence struct {
	// Server is the server that responded.
	Server mustardsaddle.Server
	// Stated is the statement in the response.
	Stated mustardsaddle.Statement
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Table holds the newest statement of each server: its own observations, merged with
// those of the peers. It is a deterministic state machine, and not safe for concurrent
// use.
type Table struct {
	entries map[string]entry
	// servers holds the known servers by name, with their service.
	servers map[string]mustardsaddle.Server
	// digest is the result of Digest, unless it is stale.
	digest      uint64
	digestStale bool
}

// entry is the newest statement of one server.
type entry struct {
	mustardsaddle.ServerStatement
	// since is when this gateway learned the statement.
	since time.Time
}

// NewTable returns a Table without servers and statements.
func NewTable() *Table {
	return &Table{entries: make(map[string]entry), servers: make(map[string]mustardsaddle.Server)}
}

// SetServers replaces the known servers of a service. The statements of servers that are
// not listed are dropped after a while.
func (t *Table) SetServers(now time.Time, service string, servers []mustardsaddle.Server) {
	t.digestStale = true
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.Name] = true
		s.Service = service
		t.servers[s.Name] = s
	}
	for name, s := range t.servers {
		if s.Service == service && !listed[name] {
			delete(t.servers, name)
		}
	}
	for name, e := range t.entries {
		if _, known := t.servers[name]; !known && now.Sub(e.since) >= retainUnlisted {
			delete(t.entries, name)
		}
	}
}

// Observe records the statement in a response. A server that has stated that it is leaving
// stays so in this incarnation. If the statement differs from the known one, it
// returns the new version, which has yet to be sent to the peers, and true. A response to
// a request that was sent before the known statement was learned may have been composed
// earlier, so it can tighten the statement but not relax it.
func (t *Table) Observe(now time.Time, e Evidence) (mustardsaddle.ServerStatement, bool) {
	known, ok := t.entries[e.Server.Name]
	next := mustardsaddle.ServerStatement{Name: e.Server.Name, Incarnation: e.Server.Incarnation, Seq: 1, Statement: e.Stated}
	if !ok {
		if e.Stated == (mustardsaddle.Statement{}) {
			return next, false
		}
		t.set(now, next)
		return next, true
	}
	if known.Incarnation > next.Incarnation {
		return next, false
	}
	if known.Incarnation == next.Incarnation {
		next.Statement.Leaving = next.Statement.Leaving || known.Statement.Leaving
		if next.Statement == known.Statement || !mayReplace(now, known, next.Statement, e.SentAt) {
			return next, false
		}
		next.Seq = known.Seq + 1
	}
	t.set(now, next)
	return next, true
}

// set replaces the statement of a server.
func (t *Table) set(now time.Time, s mustardsaddle.ServerStatement) {
	t.entries[s.Name] = entry{ServerStatement: s, since: now}
	t.digestStale = true
}

// mayReplace reports whether a statement that differs from the known one of the same
// incarnation, in the response to a request sent at sentAt, replaces it.
func mayReplace(now time.Time, known entry, stated mustardsaddle.Statement, sentAt time.Time) bool {
	if stated.Tightens(known.Statement) {
		return true
	}
	return !sentAt.Before(known.since) && now.Sub(known.since) >= minRelaxInterval
}

// Merge records statements from a peer. It returns those that were new, which have yet to
// be sent to the other peers.
func (t *Table) Merge(now time.Time, statements []mustardsaddle.ServerStatement) []mustardsaddle.ServerStatement {
	var added []mustardsaddle.ServerStatement
	for _, s := range statements {
		known, ok := t.entries[s.Name]
		if ok && s.Incarnation == known.Incarnation {
			s.Statement.Leaving = s.Statement.Leaving || known.Statement.Leaving
		}
		if ok && !s.Newer(known.ServerStatement) || !ok && !t.hasRoom(s.Name) {
			continue
		}
		t.set(now, s)
		added = append(added, s)
	}
	return added
}

// hasRoom reports whether a first statement of a server is kept.
func (t *Table) hasRoom(server string) bool {
	_, known := t.servers[server]
	return known || len(t.entries) < len(t.servers)+maxUnknownServers
}

// Statement returns the statement of a server, and the time for which it has been known.
func (t *Table) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	known := t.entries[server.Name]
	if known.Incarnation != server.Incarnation {
		return mustardsaddle.Statement{}, 0
	}
	return known.Statement, now.Sub(known.since)
}

// Server returns a known server, with its service.
func (t *Table) Server(name string) (mustardsaddle.Server, bool) {
	s, known := t.servers[name]
	return s, known
}

// Limited returns the statements of the known servers of a service that limit the rate of
// their requests, ordered by name.
func (t *Table) Limited(service string) []mustardsaddle.ServerStatement {
	var limited []mustardsaddle.ServerStatement
	for name, e := range t.entries {
		if t.servers[name].Service == service && t.binds(e) && e.Statement.Limited {
			limited = append(limited, e.ServerStatement)
		}
	}
	sortStatements(limited)
	return limited
}

// binds reports whether an entry is about the present incarnation of a known server and
// states that it is leaving or limits its requests.
func (t *Table) binds(e entry) bool {
	s, known := t.servers[e.Name]
	return known && e.Incarnation == s.Incarnation && e.Statement != (mustardsaddle.Statement{})
}

// Leaving returns the number of known servers that state that they are leaving.
func (t *Table) Leaving() int {
	n := 0
	for _, e := range t.entries {
		if t.binds(e) && e.Statement.Leaving {
			n++
		}
	}
	return n
}

// Len returns the number of servers of which there is a statement, also a withdrawn one.
func (t *Table) Len() int {
	return len(t.entries)
}

// Statements returns the newest statements of the known servers, withdrawn ones included,
// ordered by name.
func (t *Table) Statements() []mustardsaddle.ServerStatement {
	var statements []mustardsaddle.ServerStatement
	for name, e := range t.entries {
		if _, known := t.servers[name]; known {
			statements = append(statements, e.ServerStatement)
		}
	}
	sortStatements(statements)
	return statements
}

func sortStatements(statements []mustardsaddle.ServerStatement) {
	slices.SortFunc(statements, func(a, b mustardsaddle.ServerStatement) int { return cmp.Compare(a.Name, b.Name) })
}

// Digest returns a digest that is equal for equal statements of the known servers. Peers
// compare digests to detect missing statements. Withdrawn statements do not count, since
// a gateway that starts never learns of them.
func (t *Table) Digest() uint64 {
	if !t.digestStale {
		return t.digest
	}
	t.digest, t.digestStale = 0, false
	for _, e := range t.entries {
		if t.binds(e) {
			t.digest += digest(e.ServerStatement)
		}
	}
	return t.digest
}

func digest(s mustardsaddle.ServerStatement) uint64 {
	b := append([]byte(s.Name), 0)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(s.Seq))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.Statement.PerSecond))
	for _, flag := range []bool{s.Statement.Leaving, s.Statement.Limited} {
		if flag {
			b = append(b, 1)
		}
		b = append(b, 0)
	}
	return xxhash.Sum64(b)
}
