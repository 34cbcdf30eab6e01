package registry

import "mustardsaddle.example/mustardsaddle/internal/control/rule"

// Receive applies a change from a peer. It returns the changes applied, which may be
// several, since an out-of-order change is buffered until the changes before it have
// arrived.
func (c *Core) Receive(change rule.Change) ([]rule.Change, rule.Result) {
	f, result := change.Apply(c.inForce)
	switch result {
	case rule.Gap:
		if len(c.earlyChanges) < maxEarlyChanges {
			c.earlyChanges[change.From] = change
		}
		return nil, result
	case rule.Applied:
	default:
		return nil, result
	}
	var applied []rule.Change
	for result == rule.Applied {
		c.recordHandled(change.Submission)
		applied = append(applied, change)
		// Without a buffered change, next is the zero Change, which is stale and ends the
		// loop.
		next := c.earlyChanges[change.To]
		c.setInForce(f)
		change = next
		f, result = change.Apply(c.inForce)
	}
	return applied, rule.Applied
}

// recordHandled records that a submission is handled. Each write of Rules/Accepted
// handles one submission and raises the version by at least one, so syncedVersion can
// advance by the same number.
func (c *Core) recordHandled(submission int64) {
	if submission <= c.lastHandled {
		return
	}
	if c.syncedVersion > 0 {
		c.syncedVersion += submission - c.lastHandled
	}
	c.lastHandled = submission
}

// ReceiveSnapshot applies the complete accepted state received from a peer.
func (c *Core) ReceiveSnapshot(text string) (rule.Result, error) {
	a, err := rule.ParseAccepted(text)
	if err != nil {
		return rule.BadDigest, err
	}
	if a.File.Generation <= c.inForce.Generation {
		return rule.Stale, nil
	}
	c.recordHandled(a.Submission)
	c.setInForce(a.File)
	return rule.Applied, nil
}

// setInForce puts a file of a higher generation in force.
func (c *Core) setInForce(f rule.File) {
	c.inForce = f
	c.recent = append(c.recent, f)
	c.recent = c.recent[max(0, len(c.recent)-maxRecent):]
	for from := range c.earlyChanges {
		if from < f.Generation {
			delete(c.earlyChanges, from)
		}
	}
}
