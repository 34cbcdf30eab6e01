package catalog

import (
	"slices"

	"mustardsaddle.example/mustardsaddle"
)

// maxReadings is the number of gateways whose newest readings are kept. They are dropped
// together when it is reached.
const maxReadings = 1024

// forwardable returns the part of an update, not applied yet, that is forwarded to
// peers; rules holds its rules. Incremental updates are forwarded as they are, but with
// the change of the rules instead of all rules. A snapshot is reduced to the changes
// since the known position, which is what peers that followed the same readers lack. The
// caller holds mu.
func (c *Catalog) forwardable(collection mustardsaddle.Collection, u mustardsaddle.Update, rules nextRules) mustardsaddle.Update {
	if !u.Whole {
		if u.Rules != nil {
			u.Rules, u.RuleChange = nil, rules.change()
		}
		return u
	}
	// Without the changes, the update still announces the position, so that peers with
	// an older one request a snapshot.
	forwardable := mustardsaddle.Update{After: u.Position, Position: u.Position, Age: u.Age}
	known := c.known[collection].position
	if known.IsZero() || !known.Before(u.Position) {
		return forwardable
	}
	var changed []mustardsaddle.Machine
	var removed []string
	if collection == mustardsaddle.ServersCollection {
		changed, removed = diffMachines(c.servers.Machines(), u.Machines)
	}
	if len(changed)+len(removed) <= maxForwarded {
		forwardable.After, forwardable.RuleChange, forwardable.Machines, forwardable.Removed = known, rules.change(), changed, removed
	}
	return forwardable
}

// forward forwards an update that has been applied. If the update leads to the known
// position, it states the digest of the content, so that peers with the same content at
// an older position need no snapshot. The caller holds mu.
func (c *Catalog) forward(from string, collection mustardsaddle.Collection, u mustardsaddle.Update) {
	if collection == mustardsaddle.EvacuationsCollection {
		c.forwardEvacuations(from, u)
		return
	}
	u.Digest = 0
	if p := c.known[collection]; p.position == u.Position {
		u.Digest = p.digest
	}
	c.cfg.Forward(from, collection, u)
}

// nextReading returns the identity of an update that this gateway has read from the
// directory; the zero value if the gateway has no name. The caller holds mu.
func (c *Catalog) nextReading() mustardsaddle.Reading {
	if c.cfg.Self == "" {
		return mustardsaddle.Reading{}
	}
	c.reading.Seq++
	return c.reading
}

// record records the reading that an update stems from. It returns false if an update of
// this reading or of a later one by the same gateway was received before: the update then
// took another way here and does not show that the collection is up to date.
func (p *progress) record(r mustardsaddle.Reading) bool {
	if r.IsZero() {
		return true
	}
	if p.recorded(r) {
		return false
	}
	if p.readings == nil || len(p.readings) >= maxReadings {
		p.readings = make(map[string]mustardsaddle.Reading)
	}
	p.readings[r.Gateway] = r
	return true
}

// recorded reports whether record would return false.
func (p *progress) recorded(r mustardsaddle.Reading) bool {
	known, ok := p.readings[r.Gateway]
	return ok && !r.Newer(known)
}

// forwardConfirmation forwards that the collection was up to date at the position of an
// update, without what the update contains, which is known already. An update of an unknown
// reading is not forwarded, since the peers could not tell its copies from newer ones. The
// caller holds mu.
func (c *Catalog) forwardConfirmation(from string, collection mustardsaddle.Collection, u mustardsaddle.Update) {
	if u.Reading.IsZero() {
		return
	}
	c.forward(from, collection, mustardsaddle.Update{After: u.Position, Position: u.Position, Age: u.Age, Reading: u.Reading})
}

// diffMachines returns the VMs of after that are new or differ from before, and the
// names of those of before that are not in after.
func diffMachines(before, after []mustardsaddle.Machine) (changed []mustardsaddle.Machine, removed []string) {
	old := make(map[string]mustardsaddle.Machine, len(before))
	for _, m := range before {
		old[m.Name] = m
	}
	for _, m := range after {
		if old[m.Name] != m {
			changed = append(changed, m)
		}
		delete(old, m.Name)
	}
	for name := range old {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}
