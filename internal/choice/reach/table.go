package reach

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// maxUnknownGateways is the maximum number of statements that are kept about gateways that
// are not listed yet.
const maxUnknownGateways = 256

// Table holds the newest statement of each gateway about the services that it has lost. It
// is a deterministic state machine, and not safe for concurrent use.
type Table struct {
	entries map[string]entry
	// listed holds the incarnation of each gateway of the fleet.
	listed map[string]int64
}

// entry is the newest statement of one gateway.
type entry struct {
	mustardsaddle.GatewayReach
	// since is when it was learned.
	since time.Time
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

// Merge records statements. It returns those that were new, which have yet to be sent to
// the other peers.
func (t *Table) Merge(now time.Time, statements []mustardsaddle.GatewayReach) []mustardsaddle.GatewayReach {
	var added []mustardsaddle.GatewayReach
	for _, s := range statements {
		known, ok := t.entries[s.Name]
		if ok && !s.Newer(known.GatewayReach) || s.Incarnation < t.listed[s.Name] || !ok && !t.hasRoom(s.Name) {
			continue
		}
		t.entries[s.Name] = entry{GatewayReach: s, since: now}
		added = append(added, s)
	}
	return added
}

// hasRoom reports whether a first statement of a gateway is kept.
func (t *Table) hasRoom(gateway string) bool {
	_, known := t.listed[gateway]
	return known || len(t.entries) < len(t.listed)+maxUnknownGateways
}

// Lost reports whether a gateway states that it has lost a service, and for how long that
// has been known.
func (t *Table) Lost(now time.Time, gateway mustardsaddle.VM, service string) (bool, time.Duration) {
	e, known := t.entries[gateway.Name]
	if !known || e.Incarnation < gateway.Incarnation || !slices.Contains(e.Lost, service) {
		return false, 0
	}
	return true, now.Sub(e.since)
}

// Gateways returns the number of gateways that have lost some service.
func (t *Table) Gateways() int {
	n := 0
	for _, e := range t.entries {
		if len(e.Lost) > 0 {
			n++
		}
	}
	return n
}

// Statements returns the newest statements, also those without a lost service, ordered by
// name.
func (t *Table) Statements() []mustardsaddle.GatewayReach {
	statements := make([]mustardsaddle.GatewayReach, 0, len(t.entries))
	for _, e := range t.entries {
		statements = append(statements, e.GatewayReach)
	}
	slices.SortFunc(statements, func(a, b mustardsaddle.GatewayReach) int { return cmp.Compare(a.Name, b.Name) })
	return statements
}

// Digest returns a digest that is equal for equal statements. Statements without a lost
// service do not count, since a gateway that starts never learns of them.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for _, e := range t.entries {
		if len(e.Lost) > 0 {
			digest += hash(e.GatewayReach)
		}
	}
	return digest
}

func hash(r mustardsaddle.GatewayReach) uint64 {
	b := append([]byte(r.Name), 0)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Seq))
	return xxhash.Sum64(b)
}
