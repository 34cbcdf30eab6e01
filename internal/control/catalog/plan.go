package catalog

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

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
	// Position is the position known locally.
	Position mustardsaddle.Position
	// Era is the newest known era of the directory.
	Era int64
	// FreshAt is the latest time at which the collection was known to be up to
	// date.
	FreshAt time.Time
	// Reader is true if this gateway watches the collection on behalf of its peers.
	Reader bool
	// ReadFrom is the time from which a gateway that knows nothing yet reads the directory
	// itself, unless it is a reader. Until then peers may tell it.
	ReadFrom time.Time
	// ChangedAt is when the directory last returned changes to this gateway.
	ChangedAt time.Time
	// StaleAge is the age from which a gateway reads the directory even if it is
	// not a reader.
	StaleAge time.Duration
}

// changeSpacing is the least time between a watch that has returned changes and the next
// one. Changes that follow each other closely are then returned by one call.
const changeSpacing = 150 * time.Millisecond

// Plan returns the next action and, for Sleep, its duration.
func Plan(now time.Time, s State) (Action, time.Duration) {
	age := now.Sub(s.FreshAt)
	switch {
	case s.Position.IsZero() && !s.Reader && now.Before(s.ReadFrom):
		return Sleep, s.ReadFrom.Sub(now)
	case s.Position.IsZero():
		return ReadWhole, 0
	case age < s.StaleAge && !s.Reader:
		return Sleep, s.StaleAge - age
	case s.Position.Era < s.Era:
		// The revision is of an earlier era, so no changes can be read after it.
		return ReadWhole, 0
	case s.Reader && now.Sub(s.ChangedAt) < changeSpacing:
		return Sleep, s.ChangedAt.Add(changeSpacing).Sub(now)
	case s.Reader:
		return Watch, 0
	default:
		return ReadChanges, 0
	}
}
