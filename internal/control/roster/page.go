package roster

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// WithPage returns the roster after a page of the platform's list was read at now. A
// page that was read before the newest known one only adds leaving marks and higher
// incarnations; it does not make a VM live again. VMs that belong to other pages are
// ignored.
func (r Roster) WithPage(now time.Time, name string, machines []mustardsaddle.Machine) Roster {
	machines = slices.DeleteFunc(slices.Clone(machines), func(m mustardsaddle.Machine) bool { return m.Service != name })
	if len(machines) == 0 {
		return r
	}
	old := r.pages[name]
	if r.isSettled(now, name) && slices.Equal(machines, old.machines) {
		r.pages = cloneMap(r.pages)
		r.pages[name] = page{readAt: later(old.readAt, now), machines: old.machines}
		return r
	}
	next := r.clone()
	for _, m := range machines {
		if m.Leaving {
			next.setMark(now, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	if now.Before(old.readAt) {
		next.applyStalePage(old.readAt, machines)
	} else {
		next.pages[name] = page{readAt: now, machines: machines}
		next.applyPage(now, name, machines)
		next.prune(now, name)
	}
	next.buildPageViews(name)
	return next
}

// WithPageUnchanged returns the roster after a page was read at now and found
// unchanged. The passage of time alone can complete a mass removal.
func (r Roster) WithPageUnchanged(now time.Time, name string) Roster {
	return r.WithPage(now, name, r.pages[name].machines)
}

// isSettled reports whether an equal page would change nothing at now, because none of
// its VMs is missing and no mark has to be dropped.
func (r Roster) isSettled(now time.Time, page string) bool {
	known := len(r.servers[page])
	if page == "" {
		known = len(r.peers)
	}
	if known != len(r.pages[page].machines) {
		return false
	}
	retain := r.cfg.withDefaults().RetainUnlistedMarks
	for name, m := range r.marks {
		if _, ok := r.entries[name]; !ok && now.Sub(m.receivedAt) >= retain {
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

// WithPeerList returns the roster after a peer sent its listed VMs. It adds VMs, and
// incarnations of VMs, that are unknown here, and removes none. It serves a gateway
// that starts while the platform's list cannot be read.
func (r Roster) WithPeerList(machines []mustardsaddle.Machine) Roster {
	next := r.clone()
	for _, m := range machines {
		if m.Check() != nil {
			continue
		}
		if e, known := next.entries[m.Name]; !known || m.Incarnation > e.Incarnation {
			next.entries[m.Name] = entry{Machine: m, listed: true}
		}
		if m.Leaving {
			next.setMark(r.pages[m.Service].readAt, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	next.buildViews()
	return next
}

// applyStalePage adds the information of a page that is older than the newest one,
// which was read at newest.
func (r *Roster) applyStalePage(newest time.Time, machines []mustardsaddle.Machine) {
	for _, m := range machines {
		e, known := r.entries[m.Name]
		if !known {
			// The newest page lacks the VM, so it counts as removed since then.
			r.entries[m.Name] = entry{Machine: m, listed: true, missingSince: newest, removed: true}
			continue
		}
		if m.Incarnation > e.Incarnation {
			e.Machine = m
			r.entries[m.Name] = e
		}
	}
}

// applyPage replaces the listed entries of a page and decides which missing VMs are
// removed.
func (r *Roster) applyPage(now time.Time, page string, machines []mustardsaddle.Machine) {
	listedNames := make(map[string]bool, len(machines))
	for _, m := range machines {
		listedNames[m.Name] = true
		if old, ok := r.entries[m.Name]; ok && old.Incarnation > m.Incarnation {
			m = old.Machine
		}
		r.entries[m.Name] = entry{Machine: m, listed: true}
	}
	missingCount, known := 0, 0
	for name, e := range r.entries {
		if e.Service != page || !e.listed || e.removed {
			continue
		}
		known++
		if listedNames[name] {
			continue
		}
		missingCount++
		if e.missingSince.IsZero() {
			e.missingSince = now
			r.entries[name] = e
		}
	}
	for name, e := range r.entries {
		if e.Service != page || e.missingSince.IsZero() || e.removed {
			continue
		}
		massRemoval := 2*missingCount > known
		e.removed = !massRemoval || now.Sub(e.missingSince) >= r.cfg.MassRemovalDelay
		r.entries[name] = e
	}
}

// prune drops the removed VMs of a page after their retention time, the marks about
// past incarnations or about VMs unknown for too long, and other state of unknown VMs.
func (r *Roster) prune(now time.Time, page string) {
	for name, e := range r.entries {
		if e.Service == page && e.removed && now.Sub(e.missingSince) >= r.cfg.RetainRemoved {
			delete(r.entries, name)
		}
	}
	for name, m := range r.marks {
		e, known := r.entries[name]
		if known && m.Incarnation < e.Incarnation || !known && now.Sub(m.receivedAt) >= r.cfg.RetainUnlistedMarks {
			delete(r.marks, name)
		}
	}
	for name := range r.evidence {
		if _, known := r.entries[name]; !known {
			delete(r.evidence, name)
		}
	}
	for name := range r.unreachable {
		if _, known := r.entries[name]; !known {
			delete(r.unreachable, name)
		}
	}
}
