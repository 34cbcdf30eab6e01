package registry

import "mustardsaddle.example/mustardsaddle/internal/control/rule"

// Receive takes a change from a peer. It returns the changes that it brought,
// since an early change is kept until the ones before it have come.
func (c *Core) Receive(change rule.Change) ([]rule.Change, rule.Result) {
	f, result := change.Apply(c.inForce)
	switch result {
	case rule.Gap:
		if len(c.pending) < maxPending {
			c.pending[change.From] = change
		}
		return nil, result
	case rule.Applied:
	default:
		return nil, result
	}
	var brought []rule.Change
	for result == rule.Applied {
		c.pass(change.Submission)
		brought = append(brought, change)
		next := c.pending[change.To]
		c.put(f)
		change = next
		f, result = change.Apply(c.inForce)
	}
	return brought, rule.Applied
}

// pass notes that a submission is handled. Each write of Rules/Accepted handles
// one, and raises the version by at least one.
func (c *Core) pass(submission int64) {
	if submission <= c.handled {
		return
	}
	if c.seen > 0 {
		c.seen += submission - c.handled
	}
	c.handled = submission
}

// ReceiveWhole takes the whole state from a peer.
func (c *Core) ReceiveWhole(text string) (rule.Result, error) {
	a, err := rule.ParseAccepted(text)
	if err != nil {
		return rule.BadDigest, err
	}
	if a.File.Generation <= c.inForce.Generation {
		return rule.Stale, nil
	}
	c.pass(a.Submission)
	c.put(a.File)
	return rule.Applied, nil
}

// put puts a file of a higher generation in force.
func (c *Core) put(f rule.File) {
	c.inForce = f
	c.recent = append(c.recent, f)
	c.recent = c.recent[max(0, len(c.recent)-maxRecent):]
	for from := range c.pending {
		if from < f.Generation {
			delete(c.pending, from)
		}
	}
}
