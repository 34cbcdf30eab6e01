package rule

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// File is a rules file: its generation and its lines in order. A File is
// immutable. A file that Change.Apply returns shares the unchanged rules with the
// file before.
type File struct {
	// Generation is the generation that the file states: its own in an accepted
	// file, that of the edited file in a submission.
	Generation int64
	// HasGeneration is true when the text has a Generation line.
	HasGeneration bool

	// directory is true for the rules of a directory.
	directory bool
	lines     []line
}

// NewDirectoryFile returns the rules of a directory that has none, to which a Change can be
// applied.
func NewDirectoryFile() File {
	return File{directory: true}
}

// format returns the format of the lines.
func (f File) format() format {
	if f.directory {
		return directoryFormat()
	}
	return operatorFormat()
}

// line is one line below the header: a rule, a comment or an empty line.
type line struct {
	text string
	// rule is the parsed rule; nil for a comment or an empty line.
	rule *Rule
	// number is the line number in the parsed text, from 1.
	number int
}

// Rules returns the rules in the file's order.
func (f File) Rules() []Rule {
	rules := make([]Rule, 0, len(f.lines))
	for _, l := range f.lines {
		if l.rule != nil {
			rules = append(rules, *l.rule)
		}
	}
	return rules
}

// Len returns the number of lines below the header.
func (f File) Len() int {
	return len(f.lines)
}

// Size returns the size in bytes of the lines below the header.
func (f File) Size() int {
	size := 0
	for _, l := range f.lines {
		size += len(l.text) + 1
	}
	return size
}

// Format returns the text of the file, including its Generation line. Parsing that
// text yields an equal file.
func (f File) Format() string {
	var b strings.Builder
	b.WriteString(generationPrefix + strconv.FormatInt(f.Generation, 10) + "\n")
	f.writeBody(&b)
	return b.String()
}

func (f File) writeBody(b *strings.Builder) {
	for _, l := range f.lines {
		b.WriteString(l.text)
		b.WriteByte('\n')
	}
}

// Digest returns a hash of the lines below the header.
func (f File) Digest() uint64 {
	digest, _ := f.digest(proceed)
	return digest
}

// digest returns the Digest, or false if giveWay ends it.
func (f File) digest(giveWay GiveWay) (uint64, bool) {
	d := xxhash.New()
	for _, l := range f.lines {
		_, _ = d.WriteString(l.text)
		_, _ = d.WriteString("\n")
		if !giveWay(compareWork) {
			return 0, false
		}
	}
	return d.Sum64(), true
}

// Equal reports whether both files have the same generation and lines.
func (f File) Equal(other File) bool {
	return f.Generation == other.Generation && slices.EqualFunc(f.lines, other.lines, sameText)
}

func sameText(a, b line) bool {
	return a.text == b.text
}

// WithGeneration returns a copy of f with the given generation.
func (f File) WithGeneration(generation int64) File {
	f.Generation = generation
	f.HasGeneration = true
	return f
}
