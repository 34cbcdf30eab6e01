package registry

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// pendingSubmission is a submission that is not decided yet.
type pendingSubmission struct {
	submission rule.Submission
	// low and high bound the binary search for the base among the versions of
	// Rules/Accepted.
	low, high int64
	// unusable counts the consecutive unusable versions from the middle of the range
	// downwards.
	unusable int64
}

// findBase searches for the file that the pending submission is based on. It returns
// the read that the search needs next, if any.
func (c *Core) findBase() (Step, bool) {
	p := c.pendingSubmission
	if p.submission.HasBase || !p.submission.File.HasGeneration || len(p.submission.Problems) > 0 {
		return Step{}, false
	}
	generation := p.submission.File.Generation
	if generation == 0 {
		p.submission = p.submission.WithBase(rule.File{})
		return Step{}, false
	}
	if generation > c.stored.File.Generation {
		return Step{}, false
	}
	for _, f := range c.recent {
		if f.Generation == generation {
			p.submission = p.submission.WithBase(f)
			return Step{}, false
		}
	}
	if p.low > p.high {
		return Step{}, false
	}
	return Step{Action: ReadBase, Version: p.middle() - p.unusable}, true
}

func (p *pendingSubmission) middle() int64 {
	return p.low + (p.high-p.low)/2
}

// TakeSubmission processes a read of the submission requested by Next. The object has
// version 0 if the store no longer has it. err is the error of the read; only
// code.StoreTooLarge is final, and other errors are returned.
func (c *Core) TakeSubmission(version int64, o mustardsaddle.Object, err error) error {
	var s rule.Submission
	switch {
	case code.Of(err) == code.StoreTooLarge:
		s = rule.OversizedSubmission(version)
	case err != nil:
		return err
	case o.Version == 0 && version == c.newestSubmission:
		return code.Errorf(code.StoreBadObject, "read %s: the newest version %d is missing", SubmittedKey, version)
	case o.Version == 0:
		s = rule.MissingSubmission(version)
	default:
		s = rule.ParseSubmission(version, string(o.Value))
	}
	c.pendingSubmission = &pendingSubmission{submission: s, low: 1, high: c.version}
	return nil
}

// TakeBase processes an old version of Rules/Accepted and narrows the search for the
// base: generations never decrease from one version to the next. A version that the
// store no longer has counts as too old; after an unusable version the preceding one
// is tried.
func (c *Core) TakeBase(version int64, o mustardsaddle.Object) {
	p := c.pendingSubmission
	if p == nil {
		return
	}
	a, err := rule.ParseAccepted(string(o.Value))
	want := p.submission.File.Generation
	if o.Version > 0 && err != nil && version > p.low {
		p.unusable++
		return
	}
	switch {
	case o.Version == 0 || err != nil || a.File.Generation < want:
		p.low = p.middle() + 1
	case a.File.Generation > want:
		p.high = version - 1
	default:
		p.submission = p.submission.WithBase(a.File)
	}
	p.unusable = 0
}
