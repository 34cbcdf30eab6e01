package rule

import "mustardsaddle.example/mustardsaddle/internal/base/code"

// key identifies a line across generations: a rule by its ID, any other line by
// its text and the number of equal lines above it.
type key struct {
	id         ID
	text       string
	occurrence int
}

// lineIndex maps the keys of a file's lines to their positions.
type lineIndex struct {
	file      File
	keys      []key
	positions map[key]int
}

func indexOf(f File) lineIndex {
	x := lineIndex{file: f, keys: make([]key, len(f.lines)), positions: make(map[key]int, len(f.lines))}
	occurrences := make(map[string]int)
	for i, l := range f.lines {
		// The prefix keeps the key of an empty line different from that of the rule that
		// declares the idle timeout, whose ID is empty.
		k := key{text: "#" + l.text, occurrence: occurrences[l.text]}
		if l.rule != nil {
			k = key{id: l.rule.ID()}
		} else {
			occurrences[l.text]++
		}
		x.keys[i] = k
		x.positions[k] = i
	}
	return x
}

// line returns the line with the given key, or nil if there is none.
func (x lineIndex) line(k key) *line {
	i, ok := x.positions[k]
	if !ok {
		return nil
	}
	return &x.file.lines[i]
}

// Merge performs a three-way merge of a submission with the changes accepted since
// its base. Changes to different rules are combined. If both sides changed the same
// rule differently, or one removed a rule that the other changed, the accepted
// version is kept and a Problem states the line of the refused change.
//
// Lines keep the order of the accepted file; a new line is inserted after the line
// that it follows in the submission. If nothing was accepted since the base, the
// result is the submission as written.
func Merge(base, accepted, submitted File) (File, []Problem) {
	if base.Generation == accepted.Generation {
		return submitted.WithGeneration(accepted.Generation), nil
	}
	m := merger{base: indexOf(base), accepted: indexOf(accepted), submitted: indexOf(submitted)}
	kept, problems := m.mergeAccepted()
	added, conflicts := m.addedLines(kept)
	merged := File{Generation: accepted.Generation, HasGeneration: true}
	merged.lines = append(merged.lines, added[-1]...)
	for i := range accepted.lines {
		if kept[i] != nil {
			merged.lines = append(merged.lines, *kept[i])
		}
		merged.lines = append(merged.lines, added[i]...)
	}
	return merged, append(problems, conflicts...)
}

type merger struct {
	base, accepted, submitted lineIndex
}

// mergeAccepted returns the merged version of each accepted line, nil if the
// submission removes it, and the conflicts.
func (m merger) mergeAccepted() ([]*line, []Problem) {
	kept := make([]*line, len(m.accepted.keys))
	var problems []Problem
	for i, k := range m.accepted.keys {
		b, a, s := m.base.line(k), &m.accepted.file.lines[i], m.submitted.line(k)
		switch {
		case equal(s, b) || equal(a, s):
			kept[i] = a
		case equal(a, b):
			kept[i] = s
		default:
			kept[i] = a
			problems = append(problems, m.conflict(k, b, s))
		}
	}
	return kept, problems
}

// conflict describes a rule that both the submission and the accepted file changed.
func (m merger) conflict(k key, b, s *line) Problem {
	name := describe(k.id)
	if s == nil {
		p := problemf(code.RuleConflictRemoval, "removes %s, which has changed since generation %d", name, m.base.file.Generation)
		return p.atLine(m.lineBefore(k))
	}
	verb := "changes"
	if b == nil {
		verb = "adds"
	}
	p := problemf(code.RuleConflictChange, "%s %s, which has changed since generation %d", verb, name, m.base.file.Generation)
	return p.atLine(s.number)
}

func describe(id ID) string {
	if id.Customer != "" {
		return "Customer=" + id.Customer
	}
	return "Host=" + id.Host + " Path=" + id.Path + " Method=" + id.Method
}

// lineBefore returns the number of the last submitted line before the position of
// a removed line, or 1 if there is none.
func (m merger) lineBefore(k key) int {
	for i := m.base.positions[k] - 1; i >= 0; i-- {
		if s := m.submitted.line(m.base.keys[i]); s != nil {
			return s.number
		}
	}
	return 1
}

// addedLines returns the lines that only the submission has, by the position of the
// accepted line that they follow, -1 for the start of the file.
func (m merger) addedLines(kept []*line) (map[int][]line, []Problem) {
	added := make(map[int][]line)
	var problems []Problem
	after := -1
	for i, k := range m.submitted.keys {
		if at, ok := m.accepted.positions[k]; ok {
			if kept[at] != nil {
				after = at
			}
			continue
		}
		s, b := m.submitted.file.lines[i], m.base.line(k)
		switch {
		case b == nil:
			added[after] = append(added[after], s)
		case !equal(&s, b):
			problem := problemf(code.RuleConflictRemoval, "changes %s, which was removed since generation %d", describe(k.id), m.base.file.Generation)
			problems = append(problems, problem.atLine(s.number))
		}
	}
	return added, problems
}

// equal reports whether two lines with the same key are equivalent: rules by their
// fields, other lines by their text.
func equal(a, b *line) bool {
	if a == nil || b == nil {
		return a == b
	}
	if a.rule == nil || b.rule == nil {
		return a.text == b.text
	}
	return *a.rule == *b.rule
}
