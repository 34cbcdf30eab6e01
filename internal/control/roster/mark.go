package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// Observe processes a first-hand load report of a server. If the report changes the
// state of the server, Observe returns the mark to send to the peers, and true:
//
//   - A report with Draining set creates a leaving mark at once.
//   - Config.RevertReports consecutive reports without Draining, which span at least
//     Config.RevertSpan, replace a leaving mark by a live one with the next Seq. A
//     mark with FinalSeq stays.
//
// Gateways that revert the same mark create equal marks, so it does not matter how
// many of them do so. In the common case, a report of a live server, Observe allocates
// nothing.
func (r Roster) Observe(now time.Time, server string, report mustardsaddle.Report) (Roster, mustardsaddle.Mark, bool) {
	e, known := r.entries[server]
	if !known {
		return r, mustardsaddle.Mark{}, false
	}
	mark := r.currentMark(e)
	if report.Draining {
		return r.observeDraining(now, mark)
	}
	if !mark.Leaving || mark.Seq >= FinalSeq || mark.Incarnation != e.Incarnation {
		return r, mustardsaddle.Mark{}, false
	}
	return r.observeServing(now, mark)
}

// currentMark returns the mark that applies to a VM; without one it returns a live
// mark with Seq 0.
func (r Roster) currentMark(e entry) mustardsaddle.Mark {
	m, marked := r.marks[e.Name]
	if !marked || m.Incarnation < e.Incarnation {
		return mustardsaddle.Mark{Name: e.Name, Incarnation: e.Incarnation}
	}
	return m.Mark
}

func (r Roster) observeDraining(now time.Time, mark mustardsaddle.Mark) (Roster, mustardsaddle.Mark, bool) {
	if mark.Leaving {
		if _, counted := r.evidence[mark.Name]; counted {
			r.evidence = cloneMap(r.evidence)
			delete(r.evidence, mark.Name)
		}
		return r, mustardsaddle.Mark{}, false
	}
	mark.Leaving = true
	return r.WithMark(now, mark), mark, true
}

func (r Roster) observeServing(now time.Time, mark mustardsaddle.Mark) (Roster, mustardsaddle.Mark, bool) {
	cfg := r.cfg.withDefaults()
	ev := r.evidence[mark.Name]
	if ev.mark != mark {
		ev = servingEvidence{mark: mark, first: now}
	}
	ev.count++
	r.evidence = cloneMap(r.evidence)
	if ev.count < cfg.RevertReports || now.Sub(ev.first) < cfg.RevertSpan {
		r.evidence[mark.Name] = ev
		return r, mustardsaddle.Mark{}, false
	}
	delete(r.evidence, mark.Name)
	mark.Seq++
	mark.Leaving = false
	return r.WithMark(now, mark), mark, true
}

// WithMarks returns the roster after marks were received at now, from a peer or from
// the gateway itself. Marks that are not newer than the known ones are ignored.
func (r Roster) WithMarks(now time.Time, marks []mustardsaddle.Mark) Roster {
	next := r
	var changed []string
	for _, m := range marks {
		if !next.accepts(m) {
			continue
		}
		if changed == nil {
			next.marks = cloneMap(r.marks)
		}
		next.setMark(now, m)
		changed = append(changed, m.Name)
	}
	if changed != nil {
		next.updateViews(changed)
	}
	return next
}

// WithMark is WithMarks for one mark.
func (r Roster) WithMark(now time.Time, mark mustardsaddle.Mark) Roster {
	return r.WithMarks(now, []mustardsaddle.Mark{mark})
}

// accepts reports whether a mark is to be stored: it must be newer than the known one
// and must not be about a past incarnation. The number of marks about unknown VMs is
// bounded.
func (r Roster) accepts(m mustardsaddle.Mark) bool {
	e, known := r.entries[m.Name]
	if known && m.Incarnation < e.Incarnation {
		return false
	}
	if old, marked := r.marks[m.Name]; marked {
		return m.Newer(old.Mark)
	}
	return known || len(r.marks) < len(r.entries)+maxUnknownMarks
}

// setMark stores m if it is newer than the known mark.
func (r *Roster) setMark(now time.Time, m mustardsaddle.Mark) {
	if r.accepts(m) {
		r.marks[m.Name] = storedMark{Mark: m, receivedAt: now}
	}
}

// Marks returns the marks about known VMs, ordered by name. Marks about unknown VMs
// are omitted: every gateway drops them after a time, and otherwise the gateways would
// receive them from each other again forever.
func (r Roster) Marks() []mustardsaddle.Mark {
	var marks []mustardsaddle.Mark
	for name, m := range r.marks {
		if _, known := r.entries[name]; known {
			marks = append(marks, m.Mark)
		}
	}
	sortMarks(marks)
	return marks
}

// MarksSince returns the marks of r that are newer than those of an older roster,
// ordered by name. These have yet to be sent to the peers.
func (r Roster) MarksSince(old Roster) []mustardsaddle.Mark {
	var marks []mustardsaddle.Mark
	for name, m := range r.marks {
		before, known := old.marks[name]
		if !known || m.Newer(before.Mark) {
			marks = append(marks, m.Mark)
		}
	}
	sortMarks(marks)
	return marks
}

func sortMarks(marks []mustardsaddle.Mark) {
	slices.SortFunc(marks, func(a, b mustardsaddle.Mark) int { return cmp.Compare(a.Name, b.Name) })
}

// MarksDigest returns a digest that is equal for equal results of Marks. Peers compare
// digests to detect missing marks.
func (r Roster) MarksDigest() uint64 {
	var sum uint64
	for name, m := range r.marks {
		if _, known := r.entries[name]; known {
			sum += digest(m.Mark)
		}
	}
	return sum
}

func digest(m mustardsaddle.Mark) uint64 {
	b := append([]byte(m.Name), 0)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Seq))
	if m.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}
