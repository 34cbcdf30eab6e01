package registry

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// repair is a version of Rules/Accepted that can't be used, because something
// else wrote it, on its way to be replaced by the last good one.
type repair struct {
	// version is the bad version, and previous the one to read next.
	version, previous int64
	// good is the last good state, once it is found.
	good *rule.Accepted
}

// maxPrevious is how many versions a repair looks back.
const maxPrevious = 64

func (r *repair) next() Step {
	switch {
	case r.good != nil:
		d := rule.Decision{Next: *r.good}
		return Step{Action: Write, Version: r.version, Value: []byte(r.good.Format()), Decision: d}
	case r.previous < max(1, r.version-maxPrevious):
		return Step{Action: Idle}
	default:
		return Step{Action: ReadPrevious, Version: r.previous}
	}
}

// TakePrevious takes an older version of Rules/Accepted. The newest one that can
// be used is written again.
func (c *Core) TakePrevious(version int64, o mustardsaddle.Object) {
	if c.repair == nil {
		return
	}
	a, err := rule.ParseAccepted(string(o.Value))
	if o.Version == 0 || err != nil || c.check(a) != nil {
		c.repair.previous = version - 1
		return
	}
	c.repair.good = &a
}
