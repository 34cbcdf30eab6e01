package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// defaultReturn is the time in which entries that lapsed during an outage of
	// the directory are expected back.
	defaultReturn = 2 * time.Second
	// defaultOutage is the time without an answer from which entries may have
	// lapsed only because the directory could not be reached.
	defaultOutage = 2 * time.Second
)

// CoreConfig configures a Core. Zero values mean the defaults.
type CoreConfig struct {
	// Return is how long after an outage a missing entry is still believed.
	Return time.Duration
	// Outage is the time without an answer that counts as an outage.
	Outage time.Duration
}

// Core knows the VMs of one collection. It performs no I/O; the present time is an
// argument. A Core is not safe for concurrent use.
type Core struct {
	cfg     CoreConfig
	entries map[string]entry
	// answered is when the directory was last known to answer, to this gateway or to
	// one that it heard of it.
	answered time.Time
	// back is when it answered again after an outage.
	back time.Time
}

// entry is a VM as the directory told of it.
type entry struct {
	mustardsaddle.Machine
	warmAt time.Time
	// until is when an entry that is missing after an outage is given up; zero for
	// an entry that is listed.
	until time.Time
}

// NewCore returns a Core that knows no VM.
func NewCore(cfg CoreConfig) *Core {
	cfg.Return = cmp.Or(cfg.Return, defaultReturn)
	cfg.Outage = cmp.Or(cfg.Outage, defaultOutage)
	return &Core{cfg: cfg, entries: make(map[string]entry)}
}

// Change is a VM that has joined, changed or left.
type Change struct {
	// Old is the VM before; its name is empty if the VM is new.
	Old mustardsaddle.Machine
	// New is the VM now; its name is empty if the VM is gone.
	New mustardsaddle.Machine
}

// Apply takes an update that came in at now, and returns what it changes, ordered
// by name. A VM that is no longer listed is gone at once, unless the directory has
// just come back: an entry that lapsed meanwhile is believed for Return.
func (c *Core) Apply(now time.Time, u mustardsaddle.Update) []Change {
	before := maps.Clone(c.entries)
	listed := make(map[string]bool, len(u.Machines))
	for _, m := range u.Machines {
		listed[m.Name] = true
		c.entries[m.Name] = entry{Machine: m, warmAt: warmAt(now, m)}
	}
	for _, name := range u.Removed {
		c.miss(name)
	}
	if u.Whole {
		for name := range before {
			if !listed[name] {
				c.miss(name)
			}
		}
	}
	c.expire(now)
	return changes(before, c.entries)
}

// Contact tells that the directory answered from since to now.
func (c *Core) Contact(since, now time.Time) {
	if !c.answered.IsZero() && since.Sub(c.answered) >= c.cfg.Outage {
		c.back = now
	}
	if now.After(c.answered) {
		c.answered = now
	}
}

// Machines returns the VMs that are listed, ordered by name.
func (c *Core) Machines() []mustardsaddle.Machine {
	var machines []mustardsaddle.Machine
	for _, e := range c.entries {
		if e.until.IsZero() {
			machines = append(machines, e.Machine)
		}
	}
	slices.SortFunc(machines, func(a, b mustardsaddle.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return machines
}

// warmAt returns when a VM will have warmed up, as told at now.
func warmAt(now time.Time, m mustardsaddle.Machine) time.Time {
	if m.WarmUp <= 0 {
		return time.Time{}
	}
	return now.Add(m.WarmUp)
}

// miss notes that an entry is not listed.
func (c *Core) miss(name string) {
	e, known := c.entries[name]
	if !known || !e.until.IsZero() {
		return
	}
	e.until = c.back.Add(c.cfg.Return)
	c.entries[name] = e
}

// Expire gives up the entries whose time has passed.
func (c *Core) Expire(now time.Time) []Change {
	before := maps.Clone(c.entries)
	c.expire(now)
	return changes(before, c.entries)
}

func (c *Core) expire(now time.Time) {
	maps.DeleteFunc(c.entries, func(_ string, e entry) bool { return !e.until.IsZero() && !now.Before(e.until) })
}

// Missing reports whether an entry is believed that is not listed, which Expire
// has to end.
func (c *Core) Missing() bool {
	for _, e := range c.entries {
		if !e.until.IsZero() {
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

// Servers returns the endpoint servers of a service, ordered by name.
func (c *Core) Servers(service string) []mustardsaddle.Server {
	return c.serversOf(func(e entry) bool { return e.Service == service })
}

// AllServers returns the endpoint servers of all services, ordered by service and
// name.
func (c *Core) AllServers() []mustardsaddle.Server {
	return c.serversOf(func(entry) bool { return true })
}

// Empty reports whether no VM is known.
func (c *Core) Empty() bool {
	return len(c.entries) == 0
}

// serversOf returns the endpoint servers that pass a test, ordered by service and
// name.
func (c *Core) serversOf(test func(entry) bool) []mustardsaddle.Server {
	var servers []mustardsaddle.Server
	for _, e := range c.entries {
		if test(e) {
			servers = append(servers, mustardsaddle.Server{
				Name: e.Name, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service, Zone: e.Zone,
				Slots: e.Slots, Connections: e.Connections, Leaving: e.Leaving, WarmAt: e.warmAt,
			})
		}
	}
	slices.SortFunc(servers, func(a, b mustardsaddle.Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return servers
}
