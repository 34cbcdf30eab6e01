package instance

import (
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// membership owns the roster. Every input passes through change, so that the
// rest of the instance learns of each new roster exactly once and in order. The
// methods that take an input return what was new in it, for the caller to spread.
type membership struct {
	// changed is told each new roster with the one that it replaces. It runs under
	// the lock, and must not block.
	changed func(now time.Time, old, next roster.Roster)

	mu     sync.Mutex
	roster roster.Roster

	// leaving holds the names of the servers that are known to leave. It lets the
	// reports of all other servers pass without taking the lock.
	leaving atomic.Pointer[map[string]bool]
}

// fresh is what an input told that was not known.
type fresh struct {
	marks    []mustardsaddle.Mark
	machines []mustardsaddle.Machine
}

func newMembership(changed func(now time.Time, old, next roster.Roster)) *membership {
	m := &membership{changed: changed, roster: roster.New(roster.Config{})}
	m.leaving.Store(&map[string]bool{})
	return m
}

// Roster returns the present roster.
func (m *membership) Roster() roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster
}

// change replaces the roster by what next makes of it.
func (m *membership) change(now time.Time, next func(roster.Roster) roster.Roster) fresh {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.publish(now, next(m.roster))
}

// publish puts a roster in place. The caller holds mu.
func (m *membership) publish(now time.Time, next roster.Roster) fresh {
	old := m.roster
	m.roster = next
	leaving := make(map[string]bool)
	for _, service := range m.roster.Services() {
		for _, s := range m.roster.Servers(service) {
			if s.Leaving {
				leaving[s.Name] = true
			}
		}
	}
	m.leaving.Store(&leaving)
	m.changed(now, old, m.roster)
	return fresh{marks: m.roster.MarksSince(old), machines: m.roster.MachinesSince(old)}
}

// observe takes a first-hand load report. In the common case, a server that
// stays and says so, it takes no lock.
func (m *membership) observe(now time.Time, server string, rep mustardsaddle.Report) fresh {
	if !rep.Draining && !(*m.leaving.Load())[server] {
		return fresh{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, _, ok := m.roster.Observe(now, server, rep)
	if !ok {
		m.roster = next // it counts the report as proof, which nobody else sees
		return fresh{}
	}
	return m.publish(now, next)
}

// page takes a page of the platform's list, as read at now.
func (m *membership) page(now time.Time, name string, page mustardsaddle.Page) fresh {
	return m.change(now, func(r roster.Roster) roster.Roster {
		if !page.Changed {
			return r.WithPageUnchanged(now, name)
		}
		return r.WithPage(now, name, page.Machines)
	})
}

// machines takes VMs that a peer's list names.
func (m *membership) machines(now time.Time, list []mustardsaddle.Machine) fresh {
	return m.change(now, func(r roster.Roster) roster.Roster { return r.WithPeerList(list) })
}

// marks takes marks from a peer or from this gateway.
func (m *membership) marks(now time.Time, marks []mustardsaddle.Mark) fresh {
	return m.change(now, func(r roster.Roster) roster.Roster { return r.WithMarks(now, marks) })
}

// vm takes the introduction of a gateway VM.
func (m *membership) vm(now time.Time, vm mustardsaddle.VM) {
	m.change(now, func(r roster.Roster) roster.Roster { return r.WithVM(vm) })
}

// silent notes that a gateway VM does not answer.
func (m *membership) silent(now time.Time, name string) {
	m.change(now, func(r roster.Roster) roster.Roster { return r.WithSilent(name) })
}
