// Package directory is an in-memory test double of a platform that accepts routing rules
// itself and lists VMs without delay. It can be restored from an older copy of its data:
// the writes since then are lost, the era rises, and revisions are assigned again.
//
// # Usage
//
//	d := directory.New()
//	d.PutRules(mustardsaddle.RulesText{Generation: 1, Text: text})
//	d.PutServer(server)
//	old := d.Copy()
//	...
//	d.Restore(old)
//	d.Rewrite() // operators and endpoint servers write again what was lost
package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Directory keeps rules, servers and gateways in memory. It is safe for concurrent use.
type Directory struct {
	mu    sync.Mutex
	era   int64
	state Copy
	// rules and servers are what the operators and the endpoint servers have written
	// last, which a restore does not change.
	rules   mustardsaddle.RulesText
	servers map[string]mustardsaddle.Machine
	down    bool
	// reads counts the snapshots and watches of each collection.
	reads map[mustardsaddle.Collection]int
	// changed is closed and replaced at each write and restore.
	changed chan struct{}
}

// Copy is the data of a Directory at one time. It is immutable.
type Copy struct {
	revision int64
	rules    mustardsaddle.RulesText
	machines map[mustardsaddle.Collection]map[string]mustardsaddle.Machine
	log      []logEntry
}

// logEntry is one write. Its machine is the zero value for a removal, and rules are not
// contained.
type logEntry struct {
	revision   int64
	collection mustardsaddle.Collection
	name       string
	machine    mustardsaddle.Machine
	removed    bool
}

var _ mustardsaddle.Directory = (*Directory)(nil)

// New returns a Directory of era 1 without data.
func New() *Directory {
	return &Directory{
		era: 1,
		state: Copy{revision: 1, machines: map[mustardsaddle.Collection]map[string]mustardsaddle.Machine{
			mustardsaddle.ServersCollection: {}, mustardsaddle.GatewaysCollection: {}, mustardsaddle.EvacuationsCollection: {},
		}},
		servers: make(map[string]mustardsaddle.Machine),
		reads:   make(map[mustardsaddle.Collection]int),
		changed: make(chan struct{}),
	}
}

// PutRules writes rules as an operator does.
func (d *Directory) PutRules(r mustardsaddle.RulesText) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules = r
	d.writeRules(r)
}

// PutServer writes the entry of an endpoint server as the server does.
func (d *Directory) PutServer(m mustardsaddle.Machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[m.Name] = m
	d.writeMachine(mustardsaddle.ServersCollection, m)
}

// RemoveServer removes the entry of an endpoint server that has left.
func (d *Directory) RemoveServer(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.servers, name)
	d.removeMachine(mustardsaddle.ServersCollection, name)
}

// Evacuate writes the entry of an evacuated availability zone.
func (d *Directory) Evacuate(zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeMachine(mustardsaddle.EvacuationsCollection, mustardsaddle.Machine{Name: zone})
}

// EndEvacuation removes the entry of an evacuated availability zone.
func (d *Directory) EndEvacuation(zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeMachine(mustardsaddle.EvacuationsCollection, zone)
}

// Reads returns the number of snapshots and of watches of a collection.
func (d *Directory) Reads(c mustardsaddle.Collection) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads[c]
}

// Copy returns a copy of the data.
func (d *Directory) Copy() Copy {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.state
	c.log = slices.Clone(c.log)
	c.machines = make(map[mustardsaddle.Collection]map[string]mustardsaddle.Machine, len(d.state.machines))
	for collection, machines := range d.state.machines {
		c.machines[collection] = maps.Clone(machines)
	}
	return c
}

// Restore replaces the data with a copy, which loses all writes since then, and begins a
// new era.
func (d *Directory) Restore(c Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.era++
	d.state = c
	d.state.log = slices.Clone(c.log)
	d.state.machines = make(map[mustardsaddle.Collection]map[string]mustardsaddle.Machine, len(c.machines))
	for collection, machines := range c.machines {
		d.state.machines[collection] = maps.Clone(machines)
	}
	d.notify()
}

// Rewrite writes again what the operators and the endpoint servers had written and a
// restore has lost.
func (d *Directory) Rewrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.rules != d.rules {
		d.writeRules(d.rules)
	}
	listed := d.state.machines[mustardsaddle.ServersCollection]
	for _, name := range slices.Sorted(maps.Keys(d.servers)) {
		if listed[name] != d.servers[name] {
			d.writeMachine(mustardsaddle.ServersCollection, d.servers[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		if _, known := d.servers[name]; !known {
			d.removeMachine(mustardsaddle.ServersCollection, name)
		}
	}
}

// SetDown makes all calls fail until it is set to false.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notify()
}

// Gateways returns the names of the registered gateways, sorted.
func (d *Directory) Gateways() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.state.machines[mustardsaddle.GatewaysCollection]))
}

// Snapshot returns a whole collection.
func (d *Directory) Snapshot(_ context.Context, c mustardsaddle.Collection, _ bool) (mustardsaddle.Update, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.available(); err != nil {
		return mustardsaddle.Update{}, err
	}
	u := mustardsaddle.Update{Whole: true, Position: d.position()}
	d.reads[c]++
	switch c {
	case mustardsaddle.RulesCollection:
		if rules := d.state.rules; rules.Generation > 0 {
			u.Rules = &rules
		}
	case mustardsaddle.EvacuationsCollection:
		for _, zone := range slices.Sorted(maps.Keys(d.state.machines[c])) {
			u.Evacuations = append(u.Evacuations, mustardsaddle.Evacuation{Zone: zone})
		}
	default:
		u.Machines = slices.SortedFunc(maps.Values(d.state.machines[c]), func(a, b mustardsaddle.Machine) int { return cmp.Compare(a.Name, b.Name) })
	}
	return u, nil
}

// Changes waits for changes of a collection after a revision. Like the platform, it does
// not check the era of that revision: a revision that was assigned again is known.
func (d *Directory) Changes(ctx context.Context, c mustardsaddle.Collection, after mustardsaddle.Position, wait time.Duration) (mustardsaddle.Update, error) {
	d.mu.Lock()
	d.reads[c]++
	d.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, changed, err := d.changesNow(c, after)
		if err != nil || u.Rules != nil || len(u.Machines)+len(u.Evacuations)+len(u.Removed) > 0 {
			return u, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return u, nil
		case <-ctx.Done():
			return mustardsaddle.Update{}, code.Wrapf(code.StoreUnavailable, ctx.Err(), "watch %s", c)
		}
	}
}

// changesNow returns the changes of a collection after a revision, and a channel that is
// closed at the next write.
func (d *Directory) changesNow(c mustardsaddle.Collection, after mustardsaddle.Position) (mustardsaddle.Update, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.available(); err != nil {
		return mustardsaddle.Update{}, nil, err
	}
	if after.Revision > d.state.revision {
		return mustardsaddle.Update{}, nil, code.Errorf(code.StoreHistoryLost, "watch %s: revision %d is unknown", c, after.Revision)
	}
	u := mustardsaddle.Update{After: after, Position: d.position()}
	last := make(map[string]logEntry)
	for _, e := range d.state.log {
		if e.collection == c && e.revision > after.Revision {
			last[e.name] = e
		}
	}
	for _, name := range slices.Sorted(maps.Keys(last)) {
		switch e := last[name]; {
		case c == mustardsaddle.RulesCollection:
			rules := d.state.rules
			u.Rules = &rules
		case e.removed:
			u.Removed = append(u.Removed, name)
		case c == mustardsaddle.EvacuationsCollection:
			u.Evacuations = append(u.Evacuations, mustardsaddle.Evacuation{Zone: name})
		default:
			u.Machines = append(u.Machines, e.machine)
		}
	}
	return u, d.changed, nil
}

// Register writes the entry of a gateway VM.
func (d *Directory) Register(_ context.Context, vm mustardsaddle.VM) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.available(); err != nil {
		return err
	}
	d.writeMachine(mustardsaddle.GatewaysCollection, mustardsaddle.Machine{
		Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer,
	})
	return nil
}

// Remove removes the entry of a gateway VM.
func (d *Directory) Remove(_ context.Context, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.available(); err != nil {
		return err
	}
	d.removeMachine(mustardsaddle.GatewaysCollection, name)
	return nil
}

// available returns an error while the directory is down. The caller holds mu.
func (d *Directory) available() error {
	if d.down {
		return code.Errorf(code.StoreUnavailable, "the directory is down")
	}
	return nil
}

// position returns the current position. The caller holds mu.
func (d *Directory) position() mustardsaddle.Position {
	return mustardsaddle.Position{Era: d.era, Revision: d.state.revision}
}

func (d *Directory) writeRules(r mustardsaddle.RulesText) {
	d.state.rules = r
	d.record(logEntry{collection: mustardsaddle.RulesCollection})
}

func (d *Directory) writeMachine(c mustardsaddle.Collection, m mustardsaddle.Machine) {
	d.state.machines[c][m.Name] = m
	d.record(logEntry{collection: c, name: m.Name, machine: m})
}

func (d *Directory) removeMachine(c mustardsaddle.Collection, name string) {
	if _, listed := d.state.machines[c][name]; !listed {
		return
	}
	delete(d.state.machines[c], name)
	d.record(logEntry{collection: c, name: name, removed: true})
}

// record appends a write to the log under the next revision. The caller holds mu.
func (d *Directory) record(e logEntry) {
	d.state.revision++
	e.revision = d.state.revision
	d.state.log = append(d.state.log, e)
	d.notify()
}

// notify wakes the pending watches. The caller holds mu.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
