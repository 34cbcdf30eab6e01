package rule

// alignment finds the lines that a text has in common with a file, and parses the others.
type alignment struct {
	from    File
	texts   []string
	giveWay GiveWay

	lines []line
	// out and in are the lines that only the file has and that only the text has.
	out, in []Edit
	// added holds the rules that only the text has.
	added map[ID]bool
	// moved is true if lines in common have another order, so that out and in are incomplete.
	moved bool
	// needsFullParse is true if the text has errors, so that the lines depend on each other.
	needsFullParse bool
}

func newAlignment(from File, texts []string, giveWay GiveWay) *alignment {
	return &alignment{
		from: from, texts: texts, giveWay: giveWay,
		lines: make([]line, 0, len(texts)), added: make(map[ID]bool),
	}
}

// run aligns the text. It returns false if giveWay ends it.
func (a *alignment) run() bool {
	start, end, ok := a.commonEnds()
	if !ok {
		return false
	}
	for i := range start {
		a.keep(i)
	}
	if !a.alignMiddle(start, end) {
		return false
	}
	for i := range end {
		a.keep(len(a.from.lines) - end + i)
	}
	return a.needsFullParse || a.check()
}

// commonEnds returns how many lines at the start and at the end the text and the file have in
// common. It returns false if giveWay ends it.
func (a *alignment) commonEnds() (start, end int, ok bool) {
	n := min(len(a.from.lines), len(a.texts))
	for start < n && a.from.lines[start].text == a.texts[start] {
		start++
		if !a.giveWay(compareWork) {
			return 0, 0, false
		}
	}
	for end < n-start && a.from.lines[len(a.from.lines)-1-end].text == a.texts[len(a.texts)-1-end] {
		end++
		if !a.giveWay(compareWork) {
			return 0, 0, false
		}
	}
	return start, end, true
}

// keep appends a line of the file.
func (a *alignment) keep(at int) {
	l := a.from.lines[at]
	l.number = len(a.lines) + 1
	a.lines = append(a.lines, l)
}

// alignMiddle aligns what lies between the common lines at the start and at the end.
func (a *alignment) alignMiddle(start, end int) bool {
	next, last := start, len(a.from.lines)-end
	known := make(map[string]int, last-next)
	for i, l := range a.from.lines[next:last] {
		known[l.text] = next + i
		if !a.giveWay(compareWork) {
			return false
		}
	}
	for _, text := range a.texts[start : len(a.texts)-end] {
		at, ok := known[text]
		if !ok {
			a.parse(text)
			if a.needsFullParse {
				return true
			}
			if !a.giveWay(parseWork) {
				return false
			}
			continue
		}
		delete(known, text)
		if a.moved = a.moved || at < next; !a.moved {
			a.remove(next, at)
			next = at + 1
		}
		a.keep(at)
		if !a.giveWay(compareWork) {
			return false
		}
	}
	a.remove(next, last)
	return true
}

// remove records that the text does not have some lines of the file.
func (a *alignment) remove(from, to int) {
	for at := from; at < to; at++ {
		a.out = append(a.out, Edit{At: at, Text: a.from.lines[at].text})
	}
}

// parse appends a line that the file does not have.
func (a *alignment) parse(text string) {
	l, ok := directoryFormat().parseLine(text)
	if l.rule != nil {
		id := l.rule.ID()
		a.needsFullParse = a.needsFullParse || a.added[id]
		a.added[id] = true
	}
	l.number = len(a.lines) + 1
	a.in = append(a.in, Edit{At: len(a.lines), Text: l.text})
	a.lines = append(a.lines, l)
	a.needsFullParse = a.needsFullParse || !ok
}

// check checks the lines against each other. It returns false if giveWay ends it.
func (a *alignment) check() bool {
	added := a.in
	for i, l := range a.lines {
		if len(added) > 0 && added[0].At == i {
			added = added[1:]
			continue
		}
		if len(a.added) > 0 && l.rule != nil && a.added[l.rule.ID()] {
			a.needsFullParse = true
		}
		if !a.giveWay(compareWork) {
			return false
		}
	}
	noLine := func(ID) int { return 0 }
	a.needsFullParse = a.needsFullParse || len(a.file().customerProblems(noLine)) > 0
	return true
}

// file returns the aligned lines as a file.
func (a *alignment) file() File {
	return File{directory: true, lines: a.lines}
}
