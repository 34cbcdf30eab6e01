package registry

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Action -output=action_string.go

// Keys of the objects in the platform's object store.
const (
	SubmittedKey = "Rules/Submitted"
	AcceptedKey  = "Rules/Accepted"
	InForceKey   = "Rules/InForce"
	keyPrefix    = "Rules/"
)

const (
	// maxRecent is how many accepted files are kept to serve as bases of submissions.
	maxRecent = 8
	// maxEarlyChanges is how many out-of-order changes are buffered until the changes
	// before them arrive.
	maxEarlyChanges = 16
)

// Action is the next operation that a Core requests.
type Action int

const (
	// Idle means that nothing is to be done.
	Idle Action = iota
	// ReadAccepted means to read Rules/Accepted and pass it to TakeAccepted.
	ReadAccepted
	// ReadSubmission means to read a version of Rules/Submitted and pass it to
	// TakeSubmission.
	ReadSubmission
	// ReadBase means to read a version of Rules/Accepted and pass it to TakeBase.
	ReadBase
	// ReadPrevious means to read a version of Rules/Accepted and pass it to
	// TakePrevious.
	ReadPrevious
	// Write means to write Rules/Accepted on condition that its version is unchanged,
	// and to pass the result to TakeWriteResult.
	Write
)

// Step is an action with its arguments.
type Step struct {
	// Action is the operation to perform.
	Action Action
	// Version is the version to read, or the version that a write expects.
	Version int64
	// Value is the value to write.
	Value []byte
	// Decision is the decision that the write records; its Processed is false for a
	// repair.
	Decision rule.Decision
}

// Core is the state machine that accepts and replicates the rules on one gateway. It
// tracks the file in force, the known content of the store, and the progress of the
// current submission. It performs no I/O: Next returns the operation to perform, and
// the caller passes the result back. The generation in force never decreases. A Core
// is not safe for concurrent use.
type Core struct {
	// inForce is the newest known accepted file.
	inForce rule.File
	// syncedVersion is the highest version of Rules/Accepted that is known to contain
	// nothing newer than inForce, and lastHandled is the last submission known to be
	// handled.
	syncedVersion, lastHandled int64
	// stored is the content of Rules/Accepted at version. storedValid is false if it
	// must be read again before the next write.
	stored      rule.Accepted
	version     int64
	storedValid bool
	// newestSubmission is the newest known version of Rules/Submitted.
	newestSubmission int64

	// recent are the last files in force, which serve as bases of submissions.
	recent []rule.File
	// earlyChanges are the changes from peers that arrived out of order, by the
	// generation that they start from.
	earlyChanges map[int64]rule.Change
	// pendingSubmission is the submission being processed, and repair the unusable
	// version of Rules/Accepted being replaced; nil for none.
	pendingSubmission *pendingSubmission
	repair            *repair
}

// NewCore returns a Core without rules.
func NewCore() *Core {
	return &Core{earlyChanges: make(map[int64]rule.Change)}
}

// LastHandled returns the last submission known to be handled.
func (c *Core) LastHandled() int64 {
	return c.lastHandled
}

// File returns the file in force; its generation is 0 before there is one.
func (c *Core) File() rule.File {
	return c.inForce
}

// SyncedVersion returns a version of Rules/Accepted up to which File is the newest. It
// may be too low but never too high.
func (c *Core) SyncedVersion() int64 {
	return c.syncedVersion
}

// Accepted returns the accepted state as last read, and whether the next write may be
// based on it: it must still be valid and at least as new as the file in force.
func (c *Core) Accepted() (rule.Accepted, bool) {
	return c.stored, c.storedValid && c.stored.File.Generation >= c.inForce.Generation
}

// Latest returns the accepted state as last read, and whether it is the newest known.
func (c *Core) Latest() (rule.Accepted, bool) {
	return c.stored, c.stored.File.Generation == c.inForce.Generation && c.stored.Submission >= c.lastHandled
}

// Invalidate makes the next write read Rules/Accepted first.
func (c *Core) Invalidate() {
	c.storedValid = false
}

// ObserveSubmitted records that a version of Rules/Submitted exists. It reports
// whether there are submissions to handle.
func (c *Core) ObserveSubmitted(newestSubmission int64) bool {
	c.newestSubmission = max(c.newestSubmission, newestSubmission)
	return c.newestSubmission > max(c.stored.Submission, c.lastHandled)
}

// NeedsRepair reports whether Rules/Accepted has to be repaired.
func (c *Core) NeedsRepair() bool {
	return c.repair != nil
}

// Next returns the next step: the repair of Rules/Accepted if one is needed, otherwise
// the handling of the oldest unhandled submission.
func (c *Core) Next(now time.Time) Step {
	if c.repair != nil {
		return c.repair.next()
	}
	if !c.ObserveSubmitted(0) {
		c.pendingSubmission = nil
		return Step{Action: Idle}
	}
	if _, ok := c.Accepted(); !ok {
		return Step{Action: ReadAccepted}
	}
	version := c.stored.Submission + 1
	if c.pendingSubmission == nil || c.pendingSubmission.submission.Version != version {
		return Step{Action: ReadSubmission, Version: version}
	}
	if step, ok := c.findBase(); ok {
		return step
	}
	d := rule.Accept(now, c.stored, c.pendingSubmission.submission)
	return Step{Action: Write, Version: c.version, Value: []byte(d.Next.Format()), Decision: d}
}

// TakeWriteResult processes the result of a Write. After a conflict, and after an
// error that leaves it unknown whether the write took effect, Rules/Accepted is read
// back: if its submission number has grown, the submission was handled, by this
// gateway or another one. The returned change is that of TakeAccepted.
func (c *Core) TakeWriteResult(step Step, version int64, err error) (rule.Change, bool, error) {
	switch code.Of(err) {
	case code.OK:
		return c.TakeAccepted(mustardsaddle.Object{Key: AcceptedKey, Version: version, Value: step.Value})
	case code.StoreBudget, code.StoreBackoff, code.StoreTooLarge:
		return rule.Change{}, false, err
	case code.StoreConflict:
		c.storedValid, c.repair = false, nil
		return rule.Change{}, false, nil
	default:
		c.storedValid, c.repair = false, nil
		return rule.Change{}, false, err
	}
}

// TakeAccepted processes a version of Rules/Accepted. It returns the resulting change
// of the file in force, and whether there is one. An object that is unusable, or that
// would revert to an older generation, changes nothing.
func (c *Core) TakeAccepted(o mustardsaddle.Object) (rule.Change, bool, error) {
	if o.Version < c.version {
		return rule.Change{}, false, c.olderVersionError(o)
	}
	a, err := c.parse(o)
	if err != nil {
		return rule.Change{}, false, err
	}
	c.stored, c.version, c.storedValid, c.repair = a, o.Version, true, nil
	if o.Version > c.syncedVersion {
		c.syncedVersion, c.lastHandled = o.Version, a.Submission
	}
	if a.File.Generation == c.inForce.Generation {
		return rule.Change{}, false, nil
	}
	change := rule.Diff(c.inForce, a.File)
	change.Submission = a.Submission
	if shared, result := change.Apply(c.inForce); result == rule.Applied {
		// Applying the change shares the unchanged rules between generations, which
		// saves memory.
		c.stored.File = shared
	}
	c.setInForce(c.stored.File)
	return change, true, nil
}

// parse parses and checks a version of Rules/Accepted. An unusable one is scheduled
// for repair, unless its format is newer than this program supports.
func (c *Core) parse(o mustardsaddle.Object) (rule.Accepted, error) {
	if o.Version == 0 {
		return rule.Accepted{}, c.checkConsistency(rule.Accepted{})
	}
	a, err := rule.ParseAccepted(string(o.Value))
	if err == nil {
		err = c.checkConsistency(a)
	}
	if err == nil {
		return a, nil
	}
	c.storedValid = false
	if code.Of(err) != code.StoreNewerFormat && (c.repair == nil || c.repair.version < o.Version) {
		c.repair = &repair{version: o.Version, candidate: o.Version - 1}
	}
	return a, err
}

// olderVersionError returns an error if the newest version was to be read and an older
// one was returned. A late response of a watch is not an error.
func (c *Core) olderVersionError(o mustardsaddle.Object) error {
	if c.storedValid {
		return nil
	}
	return code.Errorf(code.StoreBadObject, "read %s: got version %d, want at least %d", AcceptedKey, o.Version, c.version)
}

// checkConsistency rejects a state that has a lower generation than the file in force,
// or other rules at the same generation.
func (c *Core) checkConsistency(a rule.Accepted) error {
	if a.File.Generation < c.inForce.Generation {
		return code.Errorf(code.StoreBadObject, "read %s: got generation %d, want at least %d, which is in force", AcceptedKey, a.File.Generation, c.inForce.Generation)
	}
	if a.File.Generation == c.inForce.Generation && a.File.Digest() != c.inForce.Digest() {
		return code.Errorf(code.StoreBadObject, "read %s: rules differ from those in force at generation %d", AcceptedKey, a.File.Generation)
	}
	return nil
}
