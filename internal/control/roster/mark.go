package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// Observe takes a first-hand load report of a server. It returns the mark to
// spread, and true, if the report changes what is known of the server:
//
//   - Draining makes a leaving mark at once.
//   - Config.UndoReports consecutive reports without Draining, which span at
//     least Config.UndoSpan, replace a leaving mark by a live one with the next
//     Seq. A mark with FinalSeq stays.
//
// Gateways that undo the same mark make equal marks, so that it does not matter
// how many of them do. In the common case, a report of a live server, Observe
// allocates nothing.
func (r Roster) Observe(now time.Time, server string, report mustardsaddle.Report) (Roster, mustardsaddle.Mark, bool) {
	e, known := r.entries[server]
	if !known {
		return r, mustardsaddle.Mark{}, false
	}
	mark := r.markOf(e)
	if report.Draining {
		return r.observeDraining(now, mark)
	}
	if !mark.Leaving || mark.Seq >= FinalSeq || mark.Incarnation != e.Incarnation {
		return r, mustardsaddle.Mark{}, false
	}
	return r.observeServing(now, mark)
}

// markOf returns the mark in force about a VM; a live one with Seq 0 if none is.
func (r Roster) markOf(e entry) mustardsaddle.Mark {
	m, marked := r.marks[e.Name]
	if !marked || m.Incarnation < e.Incarnation {
		return mustardsaddle.Mark{Name: e.Name, Incarnation: e.Incarnation}
	}
	return m.Mark
}

func (r Roster) observeDraining(now time.Time, mark mustardsaddle.Mark) (Roster, mustardsaddle.Mark, bool) {
	if mark.Leaving {
		if _, counted := r.proofs[mark.Name]; counted {
			r.proofs = cloneMap(r.proofs)
			delete(r.proofs, mark.Name)
		}
		return r, mustardsaddle.Mark{}, false
	}
	mark.Leaving = true
	return r.WithMark(now, mark), mark, true
}

func (r Roster) observeServing(now time.Time, mark mustardsaddle.Mark) (Roster, mustardsaddle.Mark, bool) {
	cfg := r.cfg.withDefaults()
	p := r.proofs[mark.Name]
	if p.mark != mark {
		p = proof{mark: mark, first: now}
	}
	p.count++
	r.proofs = cloneMap(r.proofs)
	if p.count < cfg.UndoReports || now.Sub(p.first) < cfg.UndoSpan {
		r.proofs[mark.Name] = p
		return r, mustardsaddle.Mark{}, false
	}
	delete(r.proofs, mark.Name)
	mark.Seq++
	mark.Leaving = false
	return r.WithMark(now, mark), mark, true
}

// WithMarks returns the roster after marks became known at now, from a peer or
// from the gateway itself. Marks that are not newer than the known ones change
// nothing.
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
		next.rebuild(changed)
	}
	return next
}

// WithMark is WithMarks for one mark.
func (r Roster) WithMark(now time.Time, mark mustardsaddle.Mark) Roster {
	return r.WithMarks(now, []mustardsaddle.Mark{mark})
}

// accepts reports whether a mark is newer than what is known, not about a life
// that is over, and has room.
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

// setMark keeps the newer of the known mark and m.
func (r *Roster) setMark(now time.Time, m mustardsaddle.Mark) {
	if r.accepts(m) {
		r.marks[m.Name] = heldMark{Mark: m, at: now}
	}
}

// Marks returns the marks about known VMs ordered by name. Marks about VMs that
// are unknown here are left out: each gateway forgets them after a time, and
// would otherwise learn them again from the others for ever.
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

// MarksSince returns the marks of r that are newer than those of an older
// roster, ordered by name: what is still to be spread.
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

// MarksDigest returns a number that is equal for equal results of Marks. Peers
// compare it to learn whether they miss a mark.
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
