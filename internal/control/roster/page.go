package roster

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// WithPage returns the roster after a page of the platform's list came in at now.
// A page that was read before the newest known one adds leaving marks and higher
// incarnations, and brings no VM back. VMs of other pages are passed over.
func (r Roster) WithPage(now time.Time, name string, machines []mustardsaddle.Machine) Roster {
	machines = slices.DeleteFunc(slices.Clone(machines), func(m mustardsaddle.Machine) bool { return m.Service != name })
	if len(machines) == 0 {
		return r
	}
	old := r.pages[name]
	if r.settled(now, name) && slices.Equal(machines, old.machines) {
		r.pages = cloneMap(r.pages)
		r.pages[name] = page{at: later(old.at, now), machines: old.machines}
		return r
	}
	next := r.clone()
	for _, m := range machines {
		if m.Leaving {
			next.setMark(now, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	if now.Before(old.at) {
		next.takeOldPage(old.at, machines)
	} else {
		next.pages[name] = page{at: now, machines: machines}
		next.takePage(now, name, machines)
		next.dropOld(now, name)
	}
	next.buildPage(name)
	return next
}

// WithPageUnchanged returns the roster after a page was read at now and found to be
// as it was. Time alone can end the doubt about a page.
func (r Roster) WithPageUnchanged(now time.Time, name string) Roster {
	return r.WithPage(now, name, r.pages[name].machines)
}

// settled reports whether an equal page would change nothing at now: none of its
// VMs is missing and no mark is to be dropped.
func (r Roster) settled(now time.Time, page string) bool {
	known := len(r.servers[page])
	if page == "" {
		known = len(r.peers)
	}
	if known != len(r.pages[page].machines) {
		return false
	}
	retain := r.cfg.withDefaults().MarkRetain
	for name, m := range r.marks {
		if _, ok := r.entries[name]; !ok && now.Sub(m.at) >= retain {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WithPeerList returns the roster after a peer told what its list names. It adds
// VMs, and lives of VMs, that are unknown here, and removes none: it serves a
// gateway that starts while the platform's list cannot be read.
func (r Roster) WithPeerList(machines []mustardsaddle.Machine) Roster {
	next := r.clone()
	for _, m := range machines {
		if e, known := next.entries[m.Name]; !known || m.Incarnation > e.Incarnation {
			next.entries[m.Name] = entry{Machine: m, listed: true}
		}
		if m.Leaving {
			next.setMark(r.pages[m.Service].at, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	next.build()
	return next
}

// takeOldPage adds what a page older than the newest one, read at newest, still
// tells.
func (r *Roster) takeOldPage(newest time.Time, machines []mustardsaddle.Machine) {
	for _, m := range machines {
		e, known := r.entries[m.Name]
		if !known {
			r.entries[m.Name] = entry{Machine: m, listed: true, missing: newest, gone: true}
			continue
		}
		if m.Incarnation > e.Incarnation {
			e.Machine = m
			r.entries[m.Name] = e
		}
	}
}

// takePage replaces the listed entries of a page, and decides which missing VMs
// are gone.
func (r *Roster) takePage(now time.Time, page string, machines []mustardsaddle.Machine) {
	named := make(map[string]bool, len(machines))
	for _, m := range machines {
		named[m.Name] = true
		if old, ok := r.entries[m.Name]; ok && old.Incarnation > m.Incarnation {
			m = old.Machine
		}
		r.entries[m.Name] = entry{Machine: m, listed: true}
	}
	lost, known := 0, 0
	for name, e := range r.entries {
		if e.Service != page || !e.listed || e.gone {
			continue
		}
		known++
		if named[name] {
			continue
		}
		lost++
		if e.missing.IsZero() {
			e.missing = now
			r.entries[name] = e
		}
	}
	for name, e := range r.entries {
		if e.Service != page || e.missing.IsZero() || e.gone {
			continue
		}
		doubted := 2*lost > known
		e.gone = !doubted || now.Sub(e.missing) >= r.cfg.Doubt
		r.entries[name] = e
	}
}

// dropOld forgets VMs of a page that are gone for long, and marks about unknown VMs.
func (r *Roster) dropOld(now time.Time, page string) {
	for name, e := range r.entries {
		if e.Service == page && e.gone && now.Sub(e.missing) >= r.cfg.Retain {
			delete(r.entries, name)
		}
	}
	for name, m := range r.marks {
		e, known := r.entries[name]
		if known && m.Incarnation < e.Incarnation || !known && now.Sub(m.at) >= r.cfg.MarkRetain {
			delete(r.marks, name)
		}
	}
	for name := range r.proofs {
		if _, known := r.entries[name]; !known {
			delete(r.proofs, name)
		}
	}
	for name := range r.silent {
		if _, known := r.entries[name]; !known {
			delete(r.silent, name)
		}
	}
}
