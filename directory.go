package mustardsaddle

import (
	"context"
	"time"
)

//go:generate go tool -modfile=tools/go.mod stringer -type=Collection -output=collection_string.go

// Collection is one of the collections that a Directory keeps.
type Collection int

const (
	// RulesCollection holds the routing rules.
	RulesCollection Collection = iota
	// ServersCollection holds the endpoint servers of all services.
	ServersCollection
	// GatewaysCollection holds the gateway VMs, which enter themselves.
	GatewaysCollection
)

// Directory is a platform that accepts routing rules by itself and lists the VMs as
// they are. Where a Store gives gateways the means to agree on rules, a Directory
// gives them rules that are agreed. Every method returns an error whose code.Of
// gives the result code; none waits longer than its context.
type Directory interface {
	// Snapshot reads a whole collection, as it is at the time of the call. One that
	// need not be exact costs less, and may be as the collection was seconds ago.
	Snapshot(ctx context.Context, c Collection, exact bool) (Update, error)
	// Changes waits up to the given time for what changes in a collection after a
	// revision. An update without a change has the revision to go on from. The
	// error has code.StoreHistoryLost if only a Snapshot can help.
	Changes(ctx context.Context, c Collection, after int64, wait time.Duration) (Update, error)
	// Enter writes the entry of a gateway VM, in place of one of the same name.
	Enter(ctx context.Context, vm VM) error
	// Remove removes the entry of a gateway VM, if there is one.
	Remove(ctx context.Context, name string) error
}

// Update is what a Directory tells of one collection.
type Update struct {
	// After is the revision that an update which is not whole continues from.
	After int64
	// Revision is the revision of the directory up to which the update holds.
	Revision int64
	// Whole is true if the update lists all there is, and false if it lists what
	// has changed.
	Whole bool
	// Age is for how long the directory may have changed unnoticed by whoever tells
	// of the update.
	Age time.Duration
	// Rules are the newest rules; nil if the update brings none.
	Rules *RulesText
	// Machines are the VMs that are new or have changed.
	Machines []Machine
	// Removed are the names of the VMs that are no longer listed.
	Removed []string
	// Skipped tells of each entry that could not be used.
	Skipped []error
}

// Known says how much a gateway knows of a collection: everything up to Revision,
// and nothing was missing Age ago.
type Known struct {
	// Revision is 0 if nothing is known.
	Revision int64
	// Age bounds the time for which the collection may have changed unnoticed.
	Age time.Duration
}

// RulesText is a rules file as a Directory gives it.
type RulesText struct {
	// Generation orders the versions of the rules. It grows by any step.
	Generation int64
	// Text is the rules file.
	Text string
}
