package statement

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
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

// Table holds the newest statement of each server. It is a deterministic state
// machine, and not safe for concurrent use.
type Table struct {
	entries map[string]entry
}

// entry is the statement of one incarnation of a server.
type entry struct {
	incarnation int64
	stated      mustardsaddle.Statement
	// since is when this gateway learned the statement.
	since time.Time
}

// NewTable returns a Table without statements.
func NewTable() *Table {
	return &Table{entries: make(map[string]entry)}
}

// Observe records the statement in a response and reports whether it differs from the
// known one. A response to a request that was sent before the known statement was
// learned may have been composed earlier, so it can tighten the statement but not
// relax it.
func (t *Table) Observe(now time.Time, e Evidence) bool {
	known, ok := t.entries[e.Server.Name]
	switch {
	case !ok && e.Stated == mustardsaddle.Statement{}:
		return false
	case known.incarnation > e.Server.Incarnation:
		return false
	case known.incarnation < e.Server.Incarnation:
	case e.Stated == known.stated:
		return false
	case !e.Stated.Tightens(known.stated) && e.SentAt.Before(known.since):
		return false
	}
	t.entries[e.Server.Name] = entry{incarnation: e.Server.Incarnation, stated: e.Stated, since: now}
	return true
}

// Statement returns the statement of a server, and the time for which it has been known.
func (t *Table) Statement(now time.Time, server mustardsaddle.Server) (mustardsaddle.Statement, time.Duration) {
	known := t.entries[server.Name]
	if known.incarnation != server.Incarnation {
		return mustardsaddle.Statement{}, 0
	}
	return known.stated, now.Sub(known.since)
}

// Limited returns the number of servers that limit the rate of their requests.
func (t *Table) Limited() int {
	n := 0
	for _, e := range t.entries {
		if e.stated.Limited {
			n++
		}
	}
	return n
}
