package rule

import "mustardsaddle.example/mustardsaddle"

// Revision is a version of the rules that is prepared to replace the one of a table.
type Revision struct {
	// Table is the table of the version.
	Table *Table
	// Change leads from the file of the former table to that of Table.
	Change Change
	// Problems are the errors in the text of the version, whose lines are omitted.
	Problems []Problem
}

// ReviseChange prepares the version that a change leads to. Its cost depends on the change; for
// each unchanged line it is a copy and a part of the digest. The result is Applied, or states why
// there is no revision.
func (t *Table) ReviseChange(c Change, giveWay GiveWay) (Revision, Result) {
	file, result := c.apply(t.File, giveWay)
	if result != Applied {
		return Revision{}, result
	}
	return t.revise(file, c, giveWay)
}

// ReviseText prepares a version of the rules of a directory, as ParseDirectory reads them, of
// which the table has another version. Lines that the table has are not parsed again. The result
// is Applied, or states why there is no revision.
func (t *Table) ReviseText(r mustardsaddle.RulesText, giveWay GiveWay) (Revision, Result) {
	f := directoryFormat()
	if len(r.Text) > f.maxBytes {
		return Revision{Problems: []Problem{f.tooLarge(r.Text)}}, Unreadable
	}
	a := newAlignment(t.File, splitLines(r.Text), giveWay)
	if !a.run() {
		return Revision{}, Ended
	}
	if a.needsFullParse {
		return t.reviseParsed(r, giveWay)
	}
	file := a.file().WithGeneration(r.Generation)
	change := Change{From: t.File.Generation, To: r.Generation, Out: a.out, In: a.in}
	if a.moved {
		change = diffLines(t.File, file)
	}
	digest, ok := file.digest(giveWay)
	if !ok {
		return Revision{}, Ended
	}
	change.Digest = digest
	return t.revise(file, change, giveWay)
}

// reviseParsed prepares a version of which all lines are parsed.
func (t *Table) reviseParsed(r mustardsaddle.RulesText, giveWay GiveWay) (Revision, Result) {
	file, problems, ok := parse(r.Text, directoryFormat(), giveWay)
	if !ok {
		return Revision{}, Ended
	}
	file = file.WithGeneration(r.Generation)
	next, result := t.revise(file, Diff(t.File, file), giveWay)
	next.Problems = problems
	return next, result
}

// revise prepares the version of a file to which a change leads.
func (t *Table) revise(file File, c Change, giveWay GiveWay) (Revision, Result) {
	var edits ruleEdits
	for _, out := range c.Out {
		if r := t.File.lines[out.At].rule; r != nil {
			edits.removed = append(edits.removed, r)
		}
	}
	for _, in := range c.In {
		if r := file.lines[in.At].rule; r != nil {
			edits.added = append(edits.added, r)
		}
	}
	table, ok := t.recompile(file, edits, giveWay)
	if !ok {
		return Revision{}, Ended
	}
	return Revision{Table: table, Change: c}, Applied
}
