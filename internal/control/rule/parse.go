package rule

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// MaxFileBytes is the maximum size of a rules file in the store, including its header.
	MaxFileBytes = 1 << 20
	// MaxDirectoryBytes is the maximum size of the rules of a directory, which states them in
	// another and shorter format than that of the rules.
	MaxDirectoryBytes = 16 * MaxFileBytes
	// MaxLineBytes is the maximum length of a line that an operator writes.
	MaxLineBytes = 4096
)

const byteOrderMark = "\ufeff"

// Parse parses a rules file and returns every error in it, in line order. The File
// holds the lines without errors, and those of customers that share a key, which then
// belongs to none of them.
//
// Header lines of Rules/Accepted and Rules/InForce are skipped, so that an operator
// can edit and submit a file that was read from there.
func Parse(text string) (File, []Problem) {
	file, problems, _ := parse(text, operatorFormat(), proceed)
	return file, problems
}

// ParseDirectory parses the rules of a directory like Parse, with the limits of a directory.
// Names in them are encoded by EncodeName and prefixes of paths by EncodePrefix. It returns false
// if the text is too large, so that none of it was read.
func ParseDirectory(text string) (File, []Problem, bool) {
	f, problems, _ := parse(text, directoryFormat(), proceed)
	return f, problems, len(text) <= MaxDirectoryBytes
}

// parse parses a text. It returns false if giveWay ends it.
func parse(text string, f format, giveWay GiveWay) (File, []Problem, bool) {
	p := newParser(f)
	if len(text) > f.maxBytes {
		return File{}, []Problem{f.tooLarge(text)}, true
	}
	if rest, ok := strings.CutPrefix(text, byteOrderMark); ok {
		p.addProblem(1, problemf(code.RuleBadEncoding, "file starts with a byte order mark, want plain UTF-8"))
		text = rest
	}
	for i, s := range splitLines(text) {
		p.parseLine(i+1, s)
		if !giveWay(parseWork) {
			return File{}, nil, false
		}
	}
	if problems := p.file.customerProblems(func(id ID) int { return p.seen[id] }); len(problems) > 0 {
		p.problems = append(p.problems, problems...)
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	}
	return p.file, p.problems, true
}

// tooLarge returns the problem of a text that is larger than the format allows.
func (f format) tooLarge(text string) Problem {
	return problemf(code.RuleTooLarge, "got %d bytes, want at most %d", len(text), f.maxBytes).atLine(1)
}

// splitLines returns the lines of a text, trimmed of surrounding white space.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, s := range lines {
		lines[i] = strings.TrimSpace(s)
	}
	return lines
}

type parser struct {
	format   format
	file     File
	problems []Problem
	// seen maps the rules parsed so far to their line numbers.
	seen map[ID]int
}

func newParser(f format) *parser {
	return &parser{format: f, file: File{directory: f.directory}}
}

func (p *parser) addProblem(number int, problem Problem) {
	p.problems = append(p.problems, problem.atLine(number))
}

// parseGeneration parses the number of a Generation line.
func (p *parser) parseGeneration(number int, text string) {
	n, ok := parseNumber(text)
	switch {
	case !ok:
		p.addProblem(number, problemf(code.RuleBadGeneration, "got generation %q, want a whole number of at least 0", text))
	case p.file.HasGeneration:
		p.addProblem(number, problemf(code.RuleBadGeneration, "duplicate Generation line, want one"))
	case len(p.file.lines) > 0:
		p.addProblem(number, problemf(code.RuleBadGeneration, "Generation line after other lines, want it first"))
	default:
		p.file.Generation, p.file.HasGeneration = n, true
	}
}

func parseNumber(text string) (int64, bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return n, err == nil && n >= 0
}

// parseLine parses one line, which is trimmed of surrounding white space.
func (p *parser) parseLine(number int, s string) {
	if problem := p.format.checkText(s); problem.Code != code.OK {
		p.addProblem(number, problem)
		return
	}
	if text, ok := strings.CutPrefix(s, generationPrefix); ok {
		p.parseGeneration(number, text)
		return
	}
	if isHeaderLine(s) {
		return
	}
	if s == "" || strings.HasPrefix(s, "#") {
		p.file.lines = append(p.file.lines, line{text: s, number: number})
		return
	}
	p.parseRuleLine(number, s)
}

// parseRuleLine parses a line that is neither empty nor a comment.
func (p *parser) parseRuleLine(number int, s string) {
	r, problems := p.format.parseRule(s)
	for _, problem := range problems {
		p.addProblem(number, problem)
	}
	if len(problems) > 0 {
		return
	}
	if first, ok := p.seen[r.ID()]; ok {
		p.addProblem(number, problemf(code.RuleDuplicate, "duplicate of line %d, with the same Host, Path and Method or the same declaration", first))
		return
	}
	if p.seen == nil {
		p.seen = make(map[ID]int)
	}
	p.seen[r.ID()] = number
	p.file.lines = append(p.file.lines, line{text: s, rule: &r, number: number})
}

// checkText checks the characters and the length of a line.
func (f format) checkText(s string) Problem {
	switch {
	case len(s) > f.maxLineBytes:
		return problemf(code.RuleLineTooLong, "got %d bytes, want at most %d in a line", len(s), f.maxLineBytes)
	case !utf8.ValidString(s):
		return problemf(code.RuleBadEncoding, "line is not valid UTF-8")
	case strings.ContainsFunc(s, isForbiddenRune):
		return problemf(code.RuleBadEncoding, "line contains a control character or a byte order mark")
	default:
		return Problem{}
	}
}

func isForbiddenRune(c rune) bool {
	return c != '\t' && unicode.IsControl(c) || c == '\ufeff'
}

// parseRule parses a rule and returns every error in it.
func (f format) parseRule(s string) (Rule, []Problem) {
	fields, comment, _ := strings.Cut(s, "#")
	r := Rule{Comment: strings.TrimSpace(comment)}
	var problems []Problem
	var seen fieldNames
	for field := range strings.FieldsSeq(fields) {
		if problem := f.parseField(&r, &seen, field); problem.Code != code.OK {
			problems = append(problems, problem)
		}
	}
	r.PrioritySet = r.IsCustomer() && seen.has("Priority")
	problems = append(problems, checkFields(&seen)...)
	if !namesRequester(r.Comment) {
		problems = append(problems, problemf(code.RuleNoWho, "rule has no comment that names who requested it and why, want # Who: why"))
	}
	return r, problems
}

// namesRequester reports whether a comment has the form "Who: why". The full-width colon
// that Chinese input methods produce is accepted as well.
func namesRequester(comment string) bool {
	comment = strings.ReplaceAll(comment, "：", ":")
	who, why, ok := strings.Cut(comment, ":")
	return ok && strings.TrimSpace(who) != "" && strings.TrimSpace(why) != ""
}
