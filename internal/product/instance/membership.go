package instance

import (
	"sync"
	"sync/atomic"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// membership holds the current roster. Each new roster is published under the lock, so
// that the rest of the instance sees every change exactly once and in order. The
// methods that apply an input return what was new in it, for the caller to flood.
type membership struct {
	// onChange is called with each new roster and the one that it replaces. It is
	// called with mu held and must not block.
	onChange func(now time.Time, old, next roster.Roster)

	mu     sync.Mutex
	roster roster.Roster

	// leaving holds the names of the leaving servers. It lets observe skip the lock for
	// reports of all other servers.
	leaving atomic.Pointer[map[string]bool]
}

// additions are the part of an input that was not known before.
type additions struct {
	marks    []mustardsaddle.Mark
	machines []mustardsaddle.Machine
}

func newMembership(onChange func(now time.Time, old, next roster.Roster)) *membership {
	m := &membership{onChange: onChange, roster: roster.New(roster.Config{})}
	m.leaving.Store(&map[string]bool{})
	return m
}

// Roster returns the current roster.
func (m *membership) Roster() roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster
}

// inspect calls f with the current roster, before any other roster is published.
func (m *membership) inspect(f func(roster.Roster)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.roster)
}

// update replaces the roster with the result of next.
func (m *membership) update(now time.Time, next func(roster.Roster) roster.Roster) additions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.publish(now, next(m.roster))
}

// publish makes next the current roster and returns what is new in it. The caller
// holds mu.
func (m *membership) publish(now time.Time, next roster.Roster) additions {
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
	m.onChange(now, old, m.roster)
	return additions{marks: m.roster.MarksSince(old), machines: m.roster.MachinesSince(old)}
}

// observe applies a load report that this gateway received from a server itself. In
// the common case, a report without Draining from a server that is not leaving, it
// takes no lock.
func (m *membership) observe(now time.Time, server string, rep mustardsaddle.Report) additions {
	if !rep.Draining && !(*m.leaving.Load())[server] {
		return additions{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, _, ok := m.roster.Observe(now, server, rep)
	if !ok {
		m.roster = next // counts the report as evidence that the server stays; not published
		return additions{}
	}
	return m.publish(now, next)
}

// applyPage applies a page of the platform's list that was read at now.
func (m *membership) applyPage(now time.Time, name string, page mustardsaddle.Page) additions {
	return m.update(now, func(r roster.Roster) roster.Roster {
		if !page.Changed {
			return r.WithPageUnchanged(now, name)
		}
		return r.WithPage(now, name, page.Machines)
	})
}

// applyMachines applies the VMs of a peer's list or of the directory.
func (m *membership) applyMachines(now time.Time, list []mustardsaddle.Machine) additions {
	return m.update(now, func(r roster.Roster) roster.Roster { return r.WithPeerList(list) })
}

// applyMarks applies marks from a peer or from this gateway.
func (m *membership) applyMarks(now time.Time, marks []mustardsaddle.Mark) additions {
	return m.update(now, func(r roster.Roster) roster.Roster { return r.WithMarks(now, marks) })
}

// addVM adds a gateway VM: this one, or a peer that identified itself over a link.
func (m *membership) addVM(now time.Time, vm mustardsaddle.VM) {
	m.update(now, func(r roster.Roster) roster.Roster { return r.WithVM(vm) })
}

// markUnreachable records that a gateway VM has had no link for
// link.Timing.SilenceTimeout.
func (m *membership) markUnreachable(now time.Time, name string) {
	m.update(now, func(r roster.Roster) roster.Roster { return r.WithUnreachable(name) })
}
