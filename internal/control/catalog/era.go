package catalog

import "mustardsaddle.example/mustardsaddle"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=EraChange -output=erachange_string.go

// EraChange states what a response of the directory says about its era.
type EraChange int

const (
	// EraUnchanged means that the response is of the known era.
	EraUnchanged EraChange = iota
	// EraRaised means that the directory was restored from an older copy of its data.
	EraRaised
	// EraMissing means that the response states no era although earlier ones did.
	EraMissing
	// EraUnreadable means that the response states an era that could not be read.
	EraUnreadable
	// EraLowered means that the response is of an earlier era.
	EraLowered
)

// EraTracker tracks the newest era of a directory. The zero value knows none. It is not
// safe for concurrent use.
type EraTracker struct {
	newest  int64
	ignored int64
}

// Newest returns the newest known era, 0 if none is known.
func (t *EraTracker) Newest() int64 {
	return t.newest
}

// Ignored returns how many eras that Resolve was given were missing, unreadable or lower
// than a known one.
func (t *EraTracker) Ignored() int64 {
	return t.ignored
}

// Resolve returns the position of a response of the directory, given the stated position
// and the error that occurred when its era was read, if any. A response without a usable
// era counts as one of the newest known era. One of a lower era keeps it, so that it
// counts as outdated.
func (t *EraTracker) Resolve(p mustardsaddle.Position, eraError error) (mustardsaddle.Position, EraChange) {
	switch {
	case eraError != nil:
		t.ignored++
		return p.WithEra(t.newest), EraUnreadable
	case p.Era == 0 && t.newest > 0:
		t.ignored++
		return p.WithEra(t.newest), EraMissing
	case p.Era < t.newest:
		t.ignored++
		return p, EraLowered
	default:
		return p, t.Raise(p.Era)
	}
}

// Raise records an era that the directory or a peer states. The first era that becomes
// known does not count as raised. A lower one has no effect.
func (t *EraTracker) Raise(era int64) EraChange {
	if era <= t.newest {
		return EraUnchanged
	}
	first := t.newest == 0
	t.newest = era
	if first {
		return EraUnchanged
	}
	return EraRaised
}
