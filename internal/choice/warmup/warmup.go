// Package warmup holds until when the endpoint servers that a gateway knows are cold: they
// have started a short time ago, or say so, and take only a few requests until they have
// warmed up.
//
// A server is cold until the latest of what its entry in the list and its responses have
// stated, and, if its entry does not say, until the usual time of its service after this
// gateway first saw the incarnation. A statement that a server is warm ends nothing, since it
// may have been composed before the server became cold.
//
// # Usage
//
//	table := warmup.NewTable()
//	table.SetServers(now, "Booking", servers)
//	table.Observe(now, server, 3*time.Second)
//	for _, s := range table.Cold(now, "Booking", usual) {
//		... // until s.WarmAt
//	}
//
// A Table is a deterministic state machine: time is an argument. The caller must serialize
// access to it.
package warmup

import (
	"cmp"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// minExtension is the least time by which a response extends the warm-up of a cold server.
// Responses state the remaining time with delays that differ.
const minExtension = 50 * time.Millisecond

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Source -output=source_string.go

// Source is where the latest end of a warm-up was learned.
type Source int

const (
	// Listed means the entry of the server in the list.
	Listed Source = iota
	// Response means a response of the server.
	Response
	// Assumed means that the server does not say, and counts as cold for the usual time.
	Assumed
)

// Server is a server that is cold.
type Server struct {
	mustardsaddle.Instance
	// WarmAt is when the server will have warmed up.
	WarmAt time.Time
	// Source is where that was learned.
	Source Source
}

// Table holds what is known about the servers that may be cold.
type Table struct {
	states map[string]state
}

// state is what is known about one server.
type state struct {
	mustardsaddle.Instance
	service string
	// listedAt is the end of the warm-up by the list, and observedAt by the responses; zero
	// if they state none.
	listedAt, observedAt time.Time
	// unknownSince is when an incarnation was first seen that does not say whether it is
	// cold; zero for others.
	unknownSince time.Time
	// unreadable is true once a response of this incarnation was unreadable.
	unreadable bool
}

// NewTable returns a Table without servers.
func NewTable() *Table {
	return &Table{states: make(map[string]state)}
}

// SetServers replaces the listed servers of a service, and reports whether that changes
// anything. What the responses of a server have stated stays in effect while it is listed,
// also for a new incarnation.
func (t *Table) SetServers(now time.Time, service string, servers []mustardsaddle.Server) bool {
	changed := false
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.Name] = true
		changed = t.list(now, service, s) || changed
	}
	for name, known := range t.states {
		if known.service == service && !listed[name] {
			delete(t.states, name)
			changed = true
		}
	}
	return changed
}

// list applies one listed server, and reports whether that changes anything.
func (t *Table) list(now time.Time, service string, s mustardsaddle.Server) bool {
	known, ok := t.states[s.Name]
	if !ok && !s.Cold(now) && !s.WarmUpUnknown {
		return false
	}
	next := state{Instance: s.Instance(), service: service, listedAt: s.WarmAt, observedAt: known.observedAt}
	if known.Incarnation == s.Incarnation {
		next.unknownSince, next.unreadable = known.unknownSince, known.unreadable
	}
	if s.WarmUpUnknown && next.unknownSince.IsZero() {
		next.unknownSince = now
	}
	if next == known {
		return false
	}
	t.states[s.Name] = next
	t.prune(now, s.Name)
	return true
}

// prune forgets a server of which nothing is known that may still be of use.
func (t *Table) prune(now time.Time, server string) {
	s := t.states[server]
	if !now.Before(s.listedAt) && !now.Before(s.observedAt) && s.unknownSince.IsZero() {
		delete(t.states, server)
	}
}

// Observe records that a server has stated in a response, received at now, for how long it
// is still warming up. Responses of earlier incarnations have no effect. It reports whether
// that changes anything.
func (t *Table) Observe(now time.Time, service string, server mustardsaddle.Server, left time.Duration) bool {
	known := t.states[server.Name]
	if server.Incarnation < known.Incarnation {
		return false
	}
	if until := now.Add(left); left > 0 && until.Sub(known.observedAt) >= minExtension {
		known.Instance, known.service, known.observedAt = server.Instance(), service, until
		t.states[server.Name] = known
		return true
	}
	return false
}

// ObserveUnreadable records that a response of a server has stated a time that cannot be
// read. The first one of each incarnation makes the server cold for the usual time. It
// reports whether that changes anything.
func (t *Table) ObserveUnreadable(now time.Time, service string, server mustardsaddle.Server) bool {
	known := t.states[server.Name]
	if server.Incarnation < known.Incarnation || known.unreadable && known.Incarnation == server.Incarnation {
		return false
	}
	known.Instance, known.service, known.unreadable, known.unknownSince = server.Instance(), service, true, now
	t.states[server.Name] = known
	return true
}

// Cold returns the servers of a service that are cold, ordered by name. Servers that do not
// say whether they are cold are so for the time usual.
func (t *Table) Cold(now time.Time, service string, usual time.Duration) []Server {
	var cold []Server
	for name, s := range t.states {
		if s.service != service {
			continue
		}
		if c := s.cold(usual); now.Before(c.WarmAt) {
			cold = append(cold, c)
		}
		t.prune(now, name)
	}
	slices.SortFunc(cold, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return cold
}

// cold returns the server with the latest of the ends of its warm-up.
func (s state) cold(usual time.Duration) Server {
	c := Server{Instance: s.Instance, WarmAt: s.listedAt, Source: Listed}
	if s.observedAt.After(c.WarmAt) {
		c.WarmAt, c.Source = s.observedAt, Response
	}
	if assumed := s.unknownSince.Add(usual); !s.unknownSince.IsZero() && assumed.After(c.WarmAt) {
		c.WarmAt, c.Source = assumed, Assumed
	}
	return c
}

// Len returns the number of servers that may be cold.
func (t *Table) Len() int {
	return len(t.states)
}
