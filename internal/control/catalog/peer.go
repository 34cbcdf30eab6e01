package catalog

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// Known returns the state of a collection.
func (c *Catalog) Known(now time.Time, collection mustardsaddle.Collection) mustardsaddle.CollectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	if p.position.IsZero() {
		return mustardsaddle.CollectionState{}
	}
	state := mustardsaddle.CollectionState{Position: p.position, Age: max(now.Sub(p.freshAt), 0), Digest: p.digest}
	if collection == mustardsaddle.RulesCollection {
		state.Generation = c.table.File.Generation
	}
	return state
}

// ReceiveState processes the state of a collection that a peer advertises. It returns true
// if the peer has newer content and is to be asked for a snapshot of the collection. If
// the peer has the same content at a newer position, the position is adopted.
func (c *Catalog) ReceiveState(now time.Time, collection mustardsaddle.Collection, s mustardsaddle.CollectionState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.known[collection]
	if s.Position.IsZero() || !c.follows(collection) {
		return false
	}
	c.raiseEra(now, s.Position.Era)
	if collection == mustardsaddle.RulesCollection {
		c.requestReread(s)
	}
	newer := p.position.Before(s.Position)
	if newer && !c.sameState(collection, s) || s.Generation > c.table.File.Generation {
		return p.shouldRequest(now)
	}
	if newer {
		p.adopt(s.Position)
	}
	if s.Position.Era < c.eras.Newest() {
		return false
	}
	if freshAt := now.Add(-s.Age); freshAt.After(p.freshAt) {
		p.freshAt = freshAt
		c.servers.Contact(freshAt, freshAt)
	}
	return false
}

// sameState reports whether a state has the known content of a collection. For evacuations
// the era counts too, since it decides which of them a restored directory may lack. The
// caller holds mu.
func (c *Catalog) sameState(collection mustardsaddle.Collection, s mustardsaddle.CollectionState) bool {
	p := &c.known[collection]
	if collection == mustardsaddle.EvacuationsCollection && s.Position.Era != p.position.Era {
		return false
	}
	return p.sameContent(s.Digest)
}

// Receive applies an update of a peer and forwards it if it is new. An update that
// merely confirms that nothing has changed is new too if it makes the local copy
// fresher, and only that is forwarded. Of several updates that stem from one reading of the
// directory, only the first can make it fresher: on slow links each of them arrives later
// than its age states, and would be forwarded in circles. Receive returns true if changes before the update are missing here, so that
// the peer is to be asked for a snapshot of the collection.
func (c *Catalog) Receive(now time.Time, from string, collection mustardsaddle.Collection, u mustardsaddle.Update) (shouldRequest bool) {
	rules, release := c.prepare(u, false)
	defer release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.follows(collection) || rules.result == rule.Ended {
		return false
	}
	c.raiseEra(now, u.Position.Era)
	p := &c.known[collection]
	freshAt := c.freshAt(now, collection, u)
	forwardable := c.forwardable(collection, u, rules)
	order := Compare(p.position, u)
	if order == Gap && p.sameContent(u.Digest) {
		p.adopt(u.Position)
		order = Outdated
	}
	if order == Gap || order == Applicable && rules.result.Err() != nil {
		return p.shouldRequest(now)
	}
	if order == Outdated {
		// After a restore a peer may have newer rules in force than the directory has.
		c.putInForce(rules, u.Position, "Peer")
	}
	if order == Outdated && freshAt.Sub(p.freshAt) < confirmInterval {
		return false
	}
	// Contact must come first: Core uses the previous contact to distinguish entries
	// that expired during an outage from entries that were removed.
	c.servers.Contact(freshAt, freshAt)
	if order == Applicable {
		c.apply(now, collection, u, rules, "Peer")
	}
	p.historyLost = p.historyLost && u.Position.Before(p.position)
	p.confirm(freshAt)
	if order == Applicable || rules.newer {
		c.forward(from, collection, forwardable)
	} else {
		c.forwardConfirmation(from, collection, u)
	}
	return false
}

// ReceiveHead processes an update of a peer of which everything but the content is known: the
// lines of the rules or of their change, and the VMs. It returns true if Receive would do nothing
// with the whole update, which then need not be decoded.
func (c *Catalog) ReceiveHead(now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.follows(collection) {
		return true
	}
	p := &c.known[collection]
	if p.position.Before(u.Position) || c.table.File.Generation < rulesGeneration(u) {
		return false
	}
	if !p.recorded(u.Reading) && now.Add(-u.Age).Sub(p.freshAt) >= confirmInterval {
		return false
	}
	p.record(u.Reading)
	return true
}

// rulesGeneration returns the generation of the rules that an update leads to; 0 if it contains
// none.
func rulesGeneration(u mustardsaddle.Update) int64 {
	switch {
	case u.Rules != nil:
		return u.Rules.Generation
	case u.RuleChange != nil:
		return u.RuleChange.To
	default:
		return 0
	}
}

// freshAt returns when the collection was up to date, by an update of a peer. The caller
// holds mu.
func (c *Catalog) freshAt(now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update) time.Time {
	p := &c.known[collection]
	first := p.record(u.Reading)
	if !first || u.Position.Era < c.eras.Newest() {
		// A later copy of a reading only took longer, and what was current before a restore
		// says nothing about the time after it.
		return p.freshAt
	}
	return now.Add(-u.Age)
}

// confirm records that the collection was up to date at a time.
func (p *progress) confirm(at time.Time) {
	if at.After(p.freshAt) {
		p.freshAt = at
	}
}

// sameContent reports whether a digest is that of the known content.
func (p *progress) sameContent(digest uint64) bool {
	return digest != 0 && digest == p.digest
}

// adopt records that the known content is also that of a newer position.
func (p *progress) adopt(newer mustardsaddle.Position) {
	p.position, p.historyLost = newer, false
}

// CollectionSnapshot returns a snapshot of a collection for a peer, or false if nothing
// is known.
func (c *Catalog) CollectionSnapshot(now time.Time, collection mustardsaddle.Collection) (mustardsaddle.Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	u := mustardsaddle.Update{Whole: true, Position: p.position, Age: max(now.Sub(p.freshAt), 0), Digest: p.digest}
	switch collection {
	case mustardsaddle.ServersCollection:
		u.Machines = c.servers.Machines()
	case mustardsaddle.EvacuationsCollection:
		u.Evacuations = c.evacuations.zones.Listed()
	default:
		if file := c.table.File; file.Generation > 0 {
			u.Rules = &mustardsaddle.RulesText{Generation: file.Generation, Text: file.Format()}
		}
	}
	return u, !p.position.IsZero()
}

// shouldRequest reports whether a peer is to be asked for a snapshot of the collection
// now, and if so records the time.
func (p *progress) shouldRequest(now time.Time) bool {
	if now.Sub(p.requestedAt) < requestInterval {
		return false
	}
	p.requestedAt = now
	return true
}
