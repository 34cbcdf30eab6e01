package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// defaultRetainMissing is how long entries that expired during a directory outage
	// are retained, since they are expected to reappear.
	defaultRetainMissing = 2 * time.Second
	// defaultOutage is the minimum time without a response that counts as an outage.
	// Entries that are missing after it may have expired only because the directory
	// could not be reached.
	defaultOutage = 2 * time.Second
)

// CoreConfig configures a Core. Zero values select the defaults.
type CoreConfig struct {
	// RetainMissing is how long an entry that is missing after an outage is retained.
	RetainMissing time.Duration
	// Outage is the minimum time without a response that counts as an outage.
	Outage time.Duration
	// RestoreGuard is how long after a restore of the directory its entries do not
	// overrule newer statements that were known before.
	RestoreGuard time.Duration
}

// Core holds the state of the servers collection. It performs no I/O and takes the
// current time as an argument. A Core is not safe for concurrent use.
type Core struct {
	cfg     CoreConfig
	entries map[string]entry
	guard   restoreGuard
	// lastContact is the latest time at which the directory is known to have
	// responded, to this gateway or to one whose update reached it.
	lastContact time.Time
	// position is the position of the last applied update.
	position mustardsaddle.Position
	// recoveredAt is the time of the first response after the last outage.
	recoveredAt time.Time
}

// entry is a VM as last listed by the directory.
type entry struct {
	mustardsaddle.Machine
	warmAt time.Time
	// after is a position after which the directory is known to have stated the entry.
	after mustardsaddle.Position
	// era is the era of the directory in which the entry was stated or found missing.
	era int64
	// expiresAt is when an entry that is no longer listed is removed; zero for a
	// listed entry.
	expiresAt time.Time
}

// NewCore returns a Core without entries.
func NewCore(cfg CoreConfig) *Core {
	cfg.RetainMissing = cmp.Or(cfg.RetainMissing, defaultRetainMissing)
	cfg.Outage = cmp.Or(cfg.Outage, defaultOutage)
	cfg.RestoreGuard = cmp.Or(cfg.RestoreGuard, defaultRestoreGuard)
	return &Core{cfg: cfg, entries: make(map[string]entry), guard: newRestoreGuard()}
}

// Change describes a VM that was added, modified or removed.
type Change struct {
	// Old is the previous state of the VM; its name is empty if the VM was added.
	Old mustardsaddle.Machine
	// New is the current state of the VM; its name is empty if the VM was removed.
	New mustardsaddle.Machine
}

// Apply applies an update received at now and returns the resulting changes, ordered
// by name. A VM that is no longer listed is removed at once, unless the directory has
// just recovered from an outage: entries that expired during the outage are retained
// until CoreConfig.RetainMissing after the recovery.
func (c *Core) Apply(now time.Time, u mustardsaddle.Update) []Change {
	before := maps.Clone(c.entries)
	listed := make(map[string]bool, len(u.Machines))
	for _, m := range u.Machines {
		// A peer of an earlier build may send entries that cannot be used.
		if m.Check() == nil {
			listed[m.Name] = true
			c.list(now, m, u)
		}
	}
	for _, name := range u.Removed {
		c.markMissing(name, u.Position.Era)
	}
	if u.Whole {
		for _, m := range c.Machines() {
			if !listed[m.Name] {
				c.markMissing(m.Name, u.Position.Era)
			}
		}
	}
	c.expire(now, now)
	c.position = u.Position
	return changes(before, c.entries)
}

// Contact records that the directory responded to a call that lasted from since to now.
func (c *Core) Contact(since, now time.Time) {
	if !c.lastContact.IsZero() && since.Sub(c.lastContact) >= c.cfg.Outage {
		c.recoveredAt = now
	}
	if now.After(c.lastContact) {
		c.lastContact = now
	}
}

// Restored records that the directory was found at now to be restored from an older copy
// of its data. Entries that are missing since may return, as after an outage, and for
// CoreConfig.RestoreGuard newer statements that were known before stay in effect.
func (c *Core) Restored(now time.Time) {
	c.recoveredAt = now
	c.guard.begin(now, c.cfg.RestoreGuard)
}

// Machines returns the VMs as listed by the directory, ordered by name.
func (c *Core) Machines() []mustardsaddle.Machine {
	machines := c.guard.listed()
	for name, e := range c.entries {
		if _, held := c.guard.held[name]; !held && e.expiresAt.IsZero() {
			machines = append(machines, e.Machine)
		}
	}
	slices.SortFunc(machines, func(a, b mustardsaddle.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return machines
}

// warmAt returns when a VM will have warmed up, given its remaining warm-up time at
// now.
func warmAt(now time.Time, m mustardsaddle.Machine) time.Time {
	if m.WarmUp <= 0 {
		return time.Time{}
	}
	return now.Add(m.WarmUp)
}

// statedAfter returns a position after which the directory has stated a VM that an update
// lists. The known entry is that of the same VM, if there is one.
func (c *Core) statedAfter(m mustardsaddle.Machine, u mustardsaddle.Update, known entry) mustardsaddle.Position {
	after := u.After
	if u.Whole && known.Machine == m {
		after = known.after
	}
	if known.Machine != m && after.Before(c.position) && c.position.Before(u.Position) {
		after = c.position
	}
	return after
}

// list applies a VM that an update lists. Under the guard after a restore, what was known
// from an earlier era may stay in effect instead.
func (c *Core) list(now time.Time, m mustardsaddle.Machine, u mustardsaddle.Update) {
	era := u.Position.Era
	e, known := c.entries[m.Name]
	after := c.statedAfter(m, u, e)
	if !known {
		if !c.guard.holdRemoved(now, m, era) {
			c.entries[m.Name] = entry{Machine: m, warmAt: warmAt(now, m), after: after, era: era}
		}
		return
	}
	if inEffect := c.guard.holdOlder(now, m, era, e); inEffect != m {
		e.Machine, e.expiresAt = inEffect, time.Time{}
		c.entries[m.Name] = e
		return
	}
	next := entry{Machine: m, warmAt: warmAt(now, m), after: after, era: era}
	if e.Machine == m && e.expiresAt.IsZero() {
		// A statement that is only read again does not begin the warm-up anew.
		next.warmAt = e.warmAt
	}
	c.entries[m.Name] = next
}

// markMissing records that an entry is no longer listed in an era, and sets its expiry
// time.
func (c *Core) markMissing(name string, era int64) {
	c.guard.release(name)
	e, known := c.entries[name]
	if !known || !e.expiresAt.IsZero() {
		return
	}
	// Without a recent outage this time has passed, so that the entry is removed at once.
	e.expiresAt, e.era = c.recoveredAt.Add(c.cfg.RetainMissing), era
	c.entries[name] = e
}

// Expire removes the missing entries whose retention time has passed, and applies the
// entries that were held back after a restore once RestoreGuard has passed. The entries
// were last known to be current at freshAt.
func (c *Core) Expire(now, freshAt time.Time) []Change {
	before := maps.Clone(c.entries)
	c.expire(now, freshAt)
	return changes(before, c.entries)
}

func (c *Core) expire(now, freshAt time.Time) {
	for name, e := range c.entries {
		if !e.expiresAt.IsZero() && !now.Before(e.expiresAt) {
			delete(c.entries, name)
			c.guard.recordRemoval(now, e)
		}
	}
	for _, m := range c.guard.expire(now, freshAt) {
		c.entries[m.Name] = entry{Machine: m.Machine, era: m.era}
	}
}

// HasPending reports whether any entry is retained although it is no longer listed, or
// held back although it is listed, so that Expire has to be called.
func (c *Core) HasPending() bool {
	if len(c.guard.held) > 0 {
		return true
	}
	for _, e := range c.entries {
		if !e.expiresAt.IsZero() {
			return true
		}
	}
	return false
}

// changes returns the differences between two states, ordered by name.
func changes(before, after map[string]entry) []Change {
	var list []Change
	for name, e := range after {
		if old := before[name]; old.Machine != e.Machine {
			list = append(list, Change{Old: old.Machine, New: e.Machine})
		}
	}
	for name, e := range before {
		if _, known := after[name]; !known {
			list = append(list, Change{Old: e.Machine})
		}
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Compare(cmp.Or(a.New.Name, a.Old.Name), cmp.Or(b.New.Name, b.Old.Name))
	})
	return list
}

// StatedServer is an endpoint server as the directory states it.
type StatedServer struct {
	mustardsaddle.Server
	// After is a position after which the directory is known to have stated it.
	After mustardsaddle.Position
}

// Servers returns the endpoint servers of a service, ordered by name.
func (c *Core) Servers(service string) []StatedServer {
	return c.selectServers(func(e entry) bool { return e.Service == service })
}

// AllServers returns the endpoint servers of all services, ordered by service and
// name.
func (c *Core) AllServers() []StatedServer {
	return c.selectServers(func(entry) bool { return true })
}

// Empty reports whether there are no entries.
func (c *Core) Empty() bool {
	return len(c.entries) == 0
}

// selectServers returns the endpoint servers whose entries match, ordered by service
// and name.
func (c *Core) selectServers(match func(entry) bool) []StatedServer {
	var servers []StatedServer
	for _, e := range c.entries {
		if match(e) {
			servers = append(servers, StatedServer{After: e.after, Server: mustardsaddle.Server{
				Name: e.Name, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service, Zone: e.Zone,
				Slots: e.Slots, Connections: e.Connections, Leaving: e.Leaving, WarmAt: e.warmAt, WarmUpUnknown: e.WarmUp < 0,
			}})
		}
	}
	slices.SortFunc(servers, func(a, b StatedServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return servers
}
