package rule

import (
	"slices"
	"sort"
	"strings"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result,Verdict -output=enum_string.go

// Change is a line diff between two generations of a file.
type Change mustardsaddle.RuleChange

// Edit is one deleted or inserted line.
type Edit = mustardsaddle.RuleEdit

// Result is the outcome of applying a change.
type Result int

const (
	// Applied means that the change produced a newer generation.
	Applied Result = iota
	// Stale means that the file already has the change's generation or a newer one.
	Stale
	// Gap means that the file's generation is not the one that the change applies
	// to: the whole file is needed.
	Gap
	// BadDigest means that the change does not apply to the file, or that the
	// result's digest differs from the sender's: the whole file is needed.
	BadDigest
	// Unreadable means that the text is too large, so that none of it was read.
	Unreadable
	// Ended means that GiveWay ended the operation.
	Ended
)

// Diff returns the change that turns one file into another.
func Diff(from, to File) Change {
	c := diffLines(from, to)
	c.Digest = to.Digest()
	return c
}

// diffLines returns the change that turns one file into another, without a digest.
func diffLines(from, to File) Change {
	c := Change{From: from.Generation, To: to.Generation}
	start, end := commonEnds(from.lines, to.lines)
	endFrom, endTo := len(from.lines)-end, len(to.lines)-end
	keptFrom, keptTo := commonLines(from.lines[start:endFrom], to.lines[start:endTo])
	c.Out = unmatched(from.lines[start:endFrom], keptFrom, start)
	c.In = unmatched(to.lines[start:endTo], keptTo, start)
	return c
}

// commonEnds returns how many lines at the start and at the end two files have in common.
func commonEnds(from, to []line) (start, end int) {
	n := min(len(from), len(to))
	for start < n && sameText(from[start], to[start]) {
		start++
	}
	for end < n-start && sameText(from[len(from)-1-end], to[len(to)-1-end]) {
		end++
	}
	return start, end
}

// unmatched returns the lines whose positions are not in kept.
func unmatched(lines []line, kept []int, offset int) []Edit {
	var edits []Edit
	for i, l := range lines {
		if len(kept) > 0 && kept[0] == i {
			kept = kept[1:]
			continue
		}
		edits = append(edits, Edit{At: offset + i, Text: l.text})
	}
	return edits
}

// commonLines returns the positions, in both slices, of a common subsequence of
// lines. It considers only lines whose text is unique in b, each at its first
// position in a, and finds the longest increasing subsequence of their positions
// by patience sorting.
func commonLines(a, b []line) (inA, inB []int) {
	at := make(map[string]int, len(b))
	for i, l := range b {
		if _, repeated := at[l.text]; repeated {
			at[l.text] = -1
			continue
		}
		at[l.text] = i
	}
	type entry struct{ a, b, previous int }
	var entries []entry
	var tails []int
	seen := make(map[string]bool, len(a))
	for i, l := range a {
		j, ok := at[l.text]
		if !ok || j < 0 || seen[l.text] {
			continue
		}
		seen[l.text] = true
		k := sort.Search(len(tails), func(k int) bool { return entries[tails[k]].b >= j })
		previous := -1
		if k > 0 {
			previous = tails[k-1]
		}
		entries = append(entries, entry{a: i, b: j, previous: previous})
		tails = append(tails[:k], append([]int{len(entries) - 1}, tails[min(k+1, len(tails)):]...)...)
	}
	if len(tails) == 0 {
		return nil, nil
	}
	for e := tails[len(tails)-1]; e >= 0; e = entries[e].previous {
		inA = append(inA, entries[e].a)
		inB = append(inB, entries[e].b)
	}
	slices.Reverse(inA)
	slices.Reverse(inB)
	return inA, inB
}

// Apply applies the change to a file. It returns the new file if the result is
// Applied, and f otherwise. The rules of unchanged lines are shared with f.
func (c Change) Apply(f File) (File, Result) {
	return c.apply(f, proceed)
}

func (c Change) apply(f File, giveWay GiveWay) (File, Result) {
	switch {
	case c.To <= f.Generation:
		return f, Stale
	case c.From != f.Generation:
		return f, Gap
	}
	kept, ok := c.remove(f.lines)
	if !ok {
		return f, BadDigest
	}
	lines, result := c.insert(kept, f.format(), giveWay)
	if result != Applied {
		return f, result
	}
	next := File{Generation: c.To, HasGeneration: true, directory: f.directory, lines: lines}
	digest, ok := next.digest(giveWay)
	switch {
	case !ok:
		return f, Ended
	case digest != c.Digest:
		return f, BadDigest
	default:
		return next, Applied
	}
}

// remove returns the lines without the deleted ones. It returns false if a deleted
// line does not match.
func (c Change) remove(lines []line) ([]line, bool) {
	kept := make([]line, 0, len(lines)+len(c.In))
	next := 0
	for _, out := range c.Out {
		if out.At < next || out.At >= len(lines) || lines[out.At].text != out.Text {
			return nil, false
		}
		kept = append(kept, lines[next:out.At]...)
		next = out.At + 1
	}
	return append(kept, lines[next:]...), true
}

// insert returns the kept lines with the inserted ones at their positions. The result is
// BadDigest if a position or a line is invalid, and Ended if giveWay ends it.
func (c Change) insert(kept []line, f format, giveWay GiveWay) ([]line, Result) {
	if len(c.In) == 0 {
		return kept, Applied
	}
	lines := make([]line, 0, len(kept)+len(c.In))
	for _, in := range c.In {
		n := in.At - len(lines)
		if n < 0 || n > len(kept) {
			return nil, BadDigest
		}
		lines = append(lines, kept[:n]...)
		kept = kept[n:]
		l, ok := f.parseLine(in.Text)
		if !ok {
			return nil, BadDigest
		}
		lines = append(lines, l)
		if !giveWay(parseWork) {
			return nil, Ended
		}
	}
	return append(lines, kept...), Applied
}

// parseLine parses one line below the header. It returns false if the line is not valid.
func (f format) parseLine(text string) (line, bool) {
	// The clone keeps the line from retaining the larger text that it may be a
	// substring of.
	text = strings.Clone(text)
	switch {
	case f.checkText(text).Code != code.OK || isHeaderLine(text):
		return line{}, false
	case text == "" || strings.HasPrefix(text, "#"):
		return line{text: text, number: 1}, true
	}
	r, problems := f.parseRule(text)
	return line{text: text, rule: &r, number: 1}, len(problems) == 0
}

// Err returns nil for Applied and Stale, and otherwise an error that states why
// the whole file is needed.
func (r Result) Err() error {
	if r == Applied || r == Stale {
		return nil
	}
	return code.Errorf(code.PeerBadMessage, "apply rule change: got result %s, the whole file is needed", r)
}
