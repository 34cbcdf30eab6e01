package registry

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// repair is the state of replacing an unusable version of Rules/Accepted, which was
// not written by a gateway, by the last valid one.
type repair struct {
	// version is the unusable version, and candidate the version to read next.
	version, candidate int64
	// lastValid is the last valid state, once it is found.
	lastValid *rule.Accepted
}

// maxPrevious is how many versions a repair searches backwards.
const maxPrevious = 64

func (r *repair) next() Step {
	switch {
	case r.lastValid != nil:
		d := rule.Decision{Next: *r.lastValid}
		return Step{Action: Write, Version: r.version, Value: []byte(r.lastValid.Format()), Decision: d}
	case r.candidate < max(1, r.version-maxPrevious):
		return Step{Action: Idle}
	default:
		return Step{Action: ReadPrevious, Version: r.candidate}
	}
}

// TakePrevious processes an older version of Rules/Accepted. The newest valid one is
// written again.
func (c *Core) TakePrevious(version int64, o mustardsaddle.Object) {
	if c.repair == nil {
		return
	}
	a, err := rule.ParseAccepted(string(o.Value))
	if o.Version == 0 || err != nil || c.checkConsistency(a) != nil {
		c.repair.candidate = version - 1
		return
	}
	c.repair.lastValid = &a
}
