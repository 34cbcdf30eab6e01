package catalog

import "time"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Action -output=action_string.go

// Action is the next operation on a collection.
type Action int

const (
	// Sleep means to wait, because updates from peers keep this gateway current.
	Sleep Action = iota
	// ReadWhole means to read a snapshot of the collection.
	ReadWhole
	// Watch means to wait for changes with a long poll of the directory.
	Watch
	// ReadChanges means to read changes from the directory without waiting.
	ReadChanges
)

// State is the input of Plan.
type State struct {
	// Revision is the revision known locally, 0 for none.
	Revision int64
	// FreshAt is the latest time at which the collection was known to be up to
	// date.
	FreshAt time.Time
	// Reader is true if this gateway watches the collection on behalf of its peers.
	Reader bool
	// StaleAge is the age from which a gateway reads the directory even if it is
	// not a reader.
	StaleAge time.Duration
}

// Plan returns the next action and, for Sleep, its duration.
func Plan(now time.Time, s State) (Action, time.Duration) {
	age := now.Sub(s.FreshAt)
	switch {
	case s.Revision == 0:
		return ReadWhole, 0
	case s.Reader:
		return Watch, 0
	case age >= s.StaleAge:
		return ReadChanges, 0
	default:
		return Sleep, s.StaleAge - age
	}
}

// RevisionOrder is the result of comparing an update with the revision known
// locally.
type RevisionOrder int

const (
	// Outdated means that the update contains nothing new.
	Outdated RevisionOrder = iota
	// Applicable means that the update can be applied.
	Applicable
	// Gap means that changes between the known revision and the update are missing.
	Gap
)

// CompareRevision compares an update with the revision known locally.
func CompareRevision(known, after, revision int64, whole bool) RevisionOrder {
	switch {
	case revision <= known:
		return Outdated
	case whole || after <= known && known > 0:
		return Applicable
	default:
		return Gap
	}
}
