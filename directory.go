package mustardsaddle

import (
	"context"
	"time"
)

//go:generate go tool -modfile=tools/go.mod stringer -type=Collection -output=collection_string.go

// Collection identifies one of the collections in a Directory.
type Collection int

const (
	// RulesCollection holds the routing rules.
	RulesCollection Collection = iota
	// ServersCollection holds the endpoint servers of all services.
	ServersCollection
	// GatewaysCollection holds the gateway VMs, which register themselves.
	GatewaysCollection
	// EvacuationsCollection holds the evacuated availability zones.
	EvacuationsCollection
)

// Directory is a platform service that validates routing rules itself and lists the
// current VMs. Gateways that use a Store have to agree on the accepted rules among
// themselves; a Directory returns rules that are already accepted. Every returned error
// has a result code, which code.Of gives. No method waits longer than its context.
type Directory interface {
	// Snapshot reads a whole collection as of the time of the call. If exact is
	// false the read costs less and may return a state that is some seconds old.
	Snapshot(ctx context.Context, c Collection, exact bool) (Update, error)
	// Changes waits up to the given time for changes to a collection after a
	// position. An update without changes has the position from which to continue.
	// The error has code.StoreHistoryLost if the changes are no longer available
	// and a Snapshot is needed. If the directory was restored meanwhile, the update has
	// the new era, and a Snapshot is needed too: its changes may continue from a
	// revision that was assigned twice.
	Changes(ctx context.Context, c Collection, after Position, wait time.Duration) (Update, error)
	// Register writes the entry of a gateway VM and replaces any entry of the same
	// name.
	Register(ctx context.Context, vm VM) error
	// Remove removes the entry of a gateway VM, if there is one.
	Remove(ctx context.Context, name string) error
}

// Update is a snapshot or a list of changes of one collection.
type Update struct {
	// After is the position that an update continues from, if it is not whole.
	After Position
	// Position is the position of the directory up to which the update is complete. Its
	// era is 0 if the directory did not state the era.
	Position Position
	// EraError is set if the directory stated an era that could not be read.
	EraError error
	// Whole is true for a snapshot, which lists all entries, and false for a list
	// of changes.
	Whole bool
	// Age is the time for which the directory may have changed without notice to
	// the sender of the update.
	Age time.Duration
	// Rules holds the newest rules as a whole; nil if the update does not.
	Rules *RulesText
	// RuleChange leads to the newest rules; nil if the update contains no change. A
	// directory returns Rules, and gateways forward a RuleChange among each other.
	RuleChange *RuleChange
	// Machines holds the VMs that are new or have changed.
	Machines []Machine
	// Evacuations holds the evacuated availability zones that are new.
	Evacuations []Evacuation
	// Removed holds the names of the VMs, or of the evacuated availability zones, that are
	// no longer listed.
	Removed []string
	// Digest identifies the content of the collection at Position, as the gateway that
	// sent the update has it; 0 if it is unknown, as in updates of a directory.
	Digest uint64
	// Reading identifies the call of the directory that returned the update; the zero value
	// if it is unknown, as in a snapshot that a peer has compiled.
	Reading Reading
	// Skipped holds one error for each entry that could not be used.
	Skipped []error
}

// Reading identifies a call of a Directory by a gateway. The readings of one gateway are
// ordered by Incarnation, then Seq.
type Reading struct {
	// Gateway is the name of the gateway, and Incarnation its incarnation.
	Gateway     string
	Incarnation int64
	// Seq grows with each reading of an incarnation.
	Seq int64
}

// IsZero reports whether the reading is unknown.
func (r Reading) IsZero() bool {
	return r == Reading{}
}

// Newer reports whether r follows old, a reading of the same gateway.
func (r Reading) Newer(old Reading) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Seq > old.Seq
}

// HasChanges reports whether the update changes the rules or a VM, or removes an entry.
// Evacuations that are new do not count.
func (u Update) HasChanges() bool {
	return u.Rules != nil || u.RuleChange != nil || len(u.Machines)+len(u.Removed) > 0
}

// CollectionState describes the state of a collection that a gateway has: it is
// complete up to Position, and was current Age ago.
type CollectionState struct {
	// Position is the zero value if nothing is known.
	Position Position
	// Age is an upper bound of the time for which the collection may have changed
	// unnoticed.
	Age time.Duration
	// Digest identifies the content of the collection at Position; 0 if it is unknown.
	Digest uint64
	// Generation is the generation of the rules in force; 0 for other collections. It may
	// be higher than that of the rules at Position, if the directory was restored from a
	// copy with older rules.
	Generation int64
}
