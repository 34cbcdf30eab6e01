package reach

import (
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// maxUnknownGateways is the maximum number of statements that are kept about gateways that
// are not listed yet.
const maxUnknownGateways = 256

// Table holds the newest statement of each linked gateway about the services that it has
// lost. A statement counts until statementLifetime after it was last heard. A Table is a
// deterministic state machine, and not safe for concurrent use.
type Table struct {
	entries map[string]entry
	// listed holds the incarnation of each gateway of the fleet.
	listed map[string]int64
}

// entry is the newest statement of one gateway.
type entry struct {
	mustardsaddle.GatewayReach
	// heardAt is when the gateway last stated it.
	heardAt time.Time
}

// holds reports whether the statement still counts.
func (e entry) holds(now time.Time) bool {
	return now.Sub(e.heardAt) < statementLifetime
}

// NewTable returns a Table without statements.
func NewTable() *Table {
	return &Table{entries: make(map[string]entry), listed: make(map[string]int64)}
}

// SetFleet replaces the gateways of the fleet. Statements of others are dropped, and those
// of an earlier incarnation no longer count.
func (t *Table) SetFleet(gateways []mustardsaddle.VM) {
	t.listed = make(map[string]int64, len(gateways))
	for _, g := range gateways {
		t.listed[g.Name] = g.Incarnation
	}
	maps.DeleteFunc(t.entries, func(name string, e entry) bool {
		incarnation, known := t.listed[name]
		return !known || e.Incarnation < incarnation
	})
}

// Merge records statements. It returns those that were new, and not merely renewed.
func (t *Table) Merge(now time.Time, statements []mustardsaddle.GatewayReach) []mustardsaddle.GatewayReach {
	var added []mustardsaddle.GatewayReach
	for _, s := range statements {
		known, ok := t.entries[s.Name]
		if ok && s.Incarnation == known.Incarnation && s.Seq == known.Seq {
			t.entries[s.Name] = entry{GatewayReach: known.GatewayReach, heardAt: now}
			continue
		}
		if ok && !s.Newer(known.GatewayReach) || s.Incarnation < t.listed[s.Name] || !ok && !t.hasRoom(s.Name) {
			continue
		}
		t.entries[s.Name] = entry{GatewayReach: s, heardAt: now}
		added = append(added, s)
	}
	return added
}

// hasRoom reports whether a first statement of a gateway is kept.
func (t *Table) hasRoom(gateway string) bool {
	_, known := t.listed[gateway]
	return known || len(t.entries) < len(t.listed)+maxUnknownGateways
}

// Lost reports whether a gateway states that it has lost a service.
func (t *Table) Lost(now time.Time, gateway mustardsaddle.VM, service string) bool {
	e, known := t.entries[gateway.Name]
	return known && e.Incarnation >= gateway.Incarnation && e.holds(now) && slices.Contains(e.Lost, service)
}

// Gateways returns the number of gateways that state that they have lost some service.
func (t *Table) Gateways(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if len(e.Lost) > 0 && e.holds(now) {
			n++
		}
	}
	return n
}
