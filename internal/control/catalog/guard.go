package catalog

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// defaultRestoreGuard is long enough for the directory to drop the entry of a server
	// that had left before the restore and sends no more heartbeats.
	defaultRestoreGuard = 10 * time.Second
	// removalRetention is how long the removal of a VM is remembered. The copy from which
	// a directory is restored is assumed to be younger.
	removalRetention = time.Minute
)

// restoreGuard keeps VMs that have left out of use after the directory was restored from
// a copy that still lists them as serving. While the guard lasts, an entry does not
// overrule a removal or a Leaving state of the same incarnation, or a newer incarnation,
// that is known from an earlier era. Such an entry is held back until the directory
// changes it or the guard ends.
type restoreGuard struct {
	endsAt time.Time
	// removals holds the VMs that were removed recently, by name.
	removals map[string]removal
	// held holds the entries that are listed but held back, by name.
	held map[string]heldEntry
}

// removal is the removal of one incarnation of a VM.
type removal struct {
	incarnation int64
	era         int64
	at          time.Time
}

// heldEntry is an entry as it is listed in an era.
type heldEntry struct {
	mustardsaddle.Machine
	era int64
}

func newRestoreGuard() restoreGuard {
	return restoreGuard{removals: make(map[string]removal), held: make(map[string]heldEntry)}
}

// begin starts the guard after a restore that was noticed at now.
func (g *restoreGuard) begin(now time.Time, duration time.Duration) {
	g.endsAt = now.Add(duration)
}

// recordRemoval remembers that an entry was removed at now.
func (g *restoreGuard) recordRemoval(now time.Time, e entry) {
	g.removals[e.Name] = removal{incarnation: e.Incarnation, era: e.era, at: now}
}

// holdRemoved reports whether a VM that is listed in an era was removed in an earlier one
// and stays so. If it does, its entry is held back.
func (g *restoreGuard) holdRemoved(now time.Time, m mustardsaddle.Machine, era int64) bool {
	r, removed := g.removals[m.Name]
	if !removed || !now.Before(g.endsAt) || m.Incarnation > r.incarnation || r.era >= era {
		g.release(m.Name)
		return false
	}
	g.held[m.Name] = heldEntry{Machine: m, era: era}
	return true
}

// holdOlder returns the state that is in effect for a VM that is listed in an era and
// whose known entry is given. If this is not the listed state, the entry is held back.
func (g *restoreGuard) holdOlder(now time.Time, m mustardsaddle.Machine, era int64, known entry) mustardsaddle.Machine {
	inEffect := m
	switch {
	case !now.Before(g.endsAt) || known.era >= era:
	case m.Incarnation < known.Incarnation:
		inEffect = known.Machine
	case m.Incarnation == known.Incarnation && known.Leaving:
		inEffect.Leaving = true
	}
	if inEffect == m {
		g.release(m.Name)
	} else {
		g.held[m.Name] = heldEntry{Machine: m, era: era}
	}
	return inEffect
}

// release drops an entry that is held back, because the directory has changed it.
func (g *restoreGuard) release(name string) {
	delete(g.held, name)
}

// listed returns the entries that are held back.
func (g *restoreGuard) listed() []mustardsaddle.Machine {
	var machines []mustardsaddle.Machine
	for _, h := range g.held {
		machines = append(machines, h.Machine)
	}
	return machines
}

// expire ends the guard if it is over and returns the entries that were held back. The
// entries were last known to be current at freshAt: if that is before the end of the
// guard, the directory may have changed them meanwhile. It also forgets old removals.
func (g *restoreGuard) expire(now, freshAt time.Time) []heldEntry {
	for name, r := range g.removals {
		if now.Sub(r.at) >= removalRetention {
			delete(g.removals, name)
		}
	}
	if now.Before(g.endsAt) || freshAt.Before(g.endsAt) {
		return nil
	}
	var entries []heldEntry
	for name, h := range g.held {
		entries = append(entries, h)
		delete(g.held, name)
	}
	return entries
}
