package catalog

import "time"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Action -output=action_string.go

// Action is what to do next about a collection.
type Action int

const (
	// Sleep waits: others keep this gateway up to date.
	Sleep Action = iota
	// ReadWhole reads the whole collection.
	ReadWhole
	// Watch waits for changes at the directory.
	Watch
	// ReadChanges asks the directory for changes without waiting.
	ReadChanges
)

// State is what the next action about a collection depends on.
type State struct {
	// Revision is the revision known, 0 for none.
	Revision int64
	// Fresh is when nothing was missing.
	Fresh time.Time
	// Reader is true if this gateway reads for others.
	Reader bool
	// Stale is the age from which any gateway reads for itself.
	Stale time.Duration
}

// Plan returns the next action, and how long to sleep.
func Plan(now time.Time, s State) (Action, time.Duration) {
	age := now.Sub(s.Fresh)
	switch {
	case s.Revision == 0:
		return ReadWhole, 0
	case s.Reader:
		return Watch, 0
	case age >= s.Stale:
		return ReadChanges, 0
	default:
		return Sleep, s.Stale - age
	}
}

// Merge says what to do with an update of a peer.
type Merge int

const (
	// Old means that the update brings nothing new.
	Old Merge = iota
	// Fits means that the update can be applied.
	Fits
	// Gap means that changes before the update are missing.
	Gap
)

// MergeOf compares an update with the known revision.
func MergeOf(known, after, revision int64, whole bool) Merge {
	switch {
	case revision <= known:
		return Old
	case whole || after <= known && known > 0:
		return Fits
	default:
		return Gap
	}
}
