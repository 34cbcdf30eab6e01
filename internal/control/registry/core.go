package registry

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Action -output=action_string.go

// Keys of the objects in the platform's store.
const (
	SubmittedKey = "Rules/Submitted"
	AcceptedKey  = "Rules/Accepted"
	InForceKey   = "Rules/InForce"
	prefix       = "Rules/"
)

const (
	// maxRecent is how many accepted files are kept as bases of submissions.
	maxRecent = 8
	// maxPending is how many changes are kept until an earlier one has come.
	maxPending = 16
)

// Action is what a Core wants done next.
type Action int

const (
	// Idle means that there is nothing to do.
	Idle Action = iota
	// ReadAccepted means to read Rules/Accepted and hand it to TakeAccepted.
	ReadAccepted
	// ReadSubmission means to read a version of Rules/Submitted and hand it to
	// TakeSubmission.
	ReadSubmission
	// ReadBase means to read a version of Rules/Accepted and hand it to TakeBase.
	ReadBase
	// ReadPrevious means to read a version of Rules/Accepted and hand it to
	// TakePrevious.
	ReadPrevious
	// Write means to write Rules/Accepted on the condition of a version, and to
	// hand the answer to Wrote.
	Write
)

// Step is one action with its details.
type Step struct {
	// Action is what to do.
	Action Action
	// Version is the version to read, or the condition of the write.
	Version int64
	// Value is what to write.
	Value []byte
	// Decision is what the write makes known; it is not Handled for a repair.
	Decision rule.Decision
}

// Core is the state of one gateway's rules: which file is in force, what the
// store is known to hold, and how far the present submission has got. It performs
// no I/O: Next says what to do, and the results are handed back. Its generation
// never falls. A Core is not safe for concurrent use.
type Core struct {
	// inForce is the newest accepted file known.
	inForce rule.File
	// seen is the highest version of Rules/Accepted known to hold nothing newer,
	// and handled the last submission known to be handled.
	seen, handled int64
	// stored is Rules/Accepted at version; known is false when it must be read
	// before the next write.
	stored  rule.Accepted
	version int64
	known   bool
	// newest is the newest version of Rules/Submitted known.
	newest int64

	// recent are the last files in force, as bases of submissions.
	recent []rule.File
	// pending are the changes of peers that came before their turn, by their start.
	pending map[int64]rule.Change
	// work is the submission in hand, and repair the bad version of Rules/Accepted;
	// nil for none.
	work   *work
	repair *repair
}

// NewCore returns a Core without rules.
func NewCore() *Core {
	return &Core{pending: make(map[int64]rule.Change)}
}

// Handled returns the last submission known to be handled.
func (c *Core) Handled() int64 {
	return c.handled
}

// File returns the file in force; its generation is 0 before there is one.
func (c *Core) File() rule.File {
	return c.inForce
}

// Seen returns a version of Rules/Accepted up to which File is the newest. It is
// never too high.
func (c *Core) Seen() int64 {
	return c.seen
}

// Accepted returns the newest accepted state if the store's copy of it is known.
func (c *Core) Accepted() (rule.Accepted, bool) {
	return c.stored, c.known && c.stored.File.Generation >= c.inForce.Generation
}

// Latest returns the accepted state as last read, and whether nothing newer is
// known.
func (c *Core) Latest() (rule.Accepted, bool) {
	return c.stored, c.stored.File.Generation == c.inForce.Generation && c.stored.Submission >= c.handled
}

// Forget makes the next write read Rules/Accepted first.
func (c *Core) Forget() {
	c.known = false
}

// Notice takes a version of Rules/Submitted that exists. It reports whether there
// are submissions to handle.
func (c *Core) Notice(newest int64) bool {
	c.newest = max(c.newest, newest)
	return c.newest > max(c.stored.Submission, c.handled)
}

// Broken reports whether Rules/Accepted is to be repaired.
func (c *Core) Broken() bool {
	return c.repair != nil
}

// Next says what to do about Rules/Accepted, if it is broken, and then about the
// submissions noticed.
func (c *Core) Next(now time.Time) Step {
	if c.repair != nil {
		return c.repair.next()
	}
	if !c.Notice(0) {
		c.work = nil
		return Step{Action: Idle}
	}
	if _, ok := c.Accepted(); !ok {
		return Step{Action: ReadAccepted}
	}
	version := c.stored.Submission + 1
	if c.work == nil || c.work.submission.Version != version {
		return Step{Action: ReadSubmission, Version: version}
	}
	if step, ok := c.base(); ok {
		return step
	}
	d := rule.Accept(now, c.stored, c.work.submission)
	return Step{Action: Write, Version: c.version, Value: []byte(d.Next.Format()), Decision: d}
}

// Wrote takes the answer to a Write. Where the answer leaves it open whether the
// write took effect, and after a conflict, Rules/Accepted is read back: if its
// submission number has grown, the submission is handled, by whomever. The
// returned change is that of TakeAccepted.
func (c *Core) Wrote(step Step, version int64, err error) (rule.Change, bool, error) {
	switch code.Of(err) {
	case code.OK:
		return c.TakeAccepted(mustardsaddle.Object{Key: AcceptedKey, Version: version, Value: step.Value})
	case code.StoreBudget, code.StoreBackoff, code.StoreTooLarge:
		return rule.Change{}, false, err
	case code.StoreConflict:
		c.known, c.repair = false, nil
		return rule.Change{}, false, nil
	default:
		c.known, c.repair = false, nil
		return rule.Change{}, false, err
	}
}

// TakeAccepted takes a version of Rules/Accepted. It returns the change that it
// brought to the file in force, and whether there is one. An object that can't be
// read, or that would lead back to an older generation, changes nothing.
func (c *Core) TakeAccepted(o mustardsaddle.Object) (rule.Change, bool, error) {
	if o.Version < c.version {
		return rule.Change{}, false, c.tooOld(o)
	}
	a, err := c.read(o)
	if err != nil {
		return rule.Change{}, false, err
	}
	c.stored, c.version, c.known, c.repair = a, o.Version, true, nil
	if o.Version > c.seen {
		c.seen, c.handled = o.Version, a.Submission
	}
	if a.File.Generation == c.inForce.Generation {
		return rule.Change{}, false, nil
	}
	change := rule.Diff(c.inForce, a.File)
	change.Submission = a.Submission
	if shared, result := change.Apply(c.inForce); result == rule.Applied {
		// The rules that stay are then held once for all generations.
		c.stored.File = shared
	}
	c.put(c.stored.File)
	return change, true, nil
}

// read reads a version of Rules/Accepted. One that can't be used is to be repaired,
// unless a newer program wrote it.
func (c *Core) read(o mustardsaddle.Object) (rule.Accepted, error) {
	if o.Version == 0 {
		return rule.Accepted{}, c.check(rule.Accepted{})
	}
	a, err := rule.ParseAccepted(string(o.Value))
	if err == nil {
		err = c.check(a)
	}
	if err == nil {
		return a, nil
	}
	c.known = false
	if code.Of(err) != code.StoreNewerFormat && (c.repair == nil || c.repair.version < o.Version) {
		c.repair = &repair{version: o.Version, previous: o.Version - 1}
	}
	return a, err
}

// tooOld returns an error for an old version where the newest was to be read. A
// late answer of a watch is no error.
func (c *Core) tooOld(o mustardsaddle.Object) error {
	if c.known {
		return nil
	}
	return code.Errorf(code.StoreBadObject, "read %s: got version %d, want at least %d", AcceptedKey, o.Version, c.version)
}

// check refuses a state that does not follow from the file in force.
func (c *Core) check(a rule.Accepted) error {
	if a.File.Generation < c.inForce.Generation {
		return code.Errorf(code.StoreBadObject, "read %s: got generation %d, want at least %d, which is in force", AcceptedKey, a.File.Generation, c.inForce.Generation)
	}
	if a.File.Generation == c.inForce.Generation && a.File.Digest() != c.inForce.Digest() {
		return code.Errorf(code.StoreBadObject, "read %s: other rules than those in force as generation %d", AcceptedKey, a.File.Generation)
	}
	return nil
}
