package settings

import (
	"strings"

	"gopkg.in/ini.v1"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// layout holds the line numbers of the sections and keys of a settings file. The
// INI library stops at the first line that it cannot parse, and lets a duplicate key
// silently replace the first one, so scan removes such lines before the library
// parses the rest.
type layout struct {
	// text is the file without comments, empty lines and rejected lines.
	text string
	// lineNumbers maps each section and key to its line number.
	lineNumbers map[location]int
	// problems are the problems found by the scan.
	problems []Problem

	section string
	// skipping is true within a section that was rejected.
	skipping bool
}

// location identifies a section, or a key in a section.
type location struct {
	section, key string
}

// line returns the line number of a key, or that of its section if the key has none,
// or 0 if neither has one.
func (l layout) line(section, key string) int {
	if n := l.lineNumbers[location{section, key}]; n > 0 {
		return n
	}
	return l.lineNumbers[location{section: section}]
}

// scan finds the sections and keys of a settings file.
func scan(text string) layout {
	l := layout{lineNumbers: make(map[location]int)}
	var kept strings.Builder
	for i, line := range strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if l.keep(i+1, line) {
			kept.WriteString(line + "\n")
		}
	}
	l.text = kept.String()
	return l
}

// keep reports whether the INI library may parse a line.
func (l *layout) keep(n int, line string) bool {
	if line[0] == '[' {
		return l.keepSection(n, line)
	}
	if l.skipping {
		return false
	}
	return l.keepKey(n, line)
}

func (l *layout) keepSection(n int, line string) bool {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	onlyComment := rest == "" || (rest[0] == '#' || rest[0] == ';') && !strings.Contains(rest, "]")
	l.section, l.skipping = name, true
	if !closed || name == "" || !onlyComment {
		l.addProblem(code.SettingsSyntax, n, "", line, "a section such as [Gateway]")
		return false
	}
	if name == ini.DefaultSection {
		l.addProblem(code.SettingsUnknownSection, n, "", "an unknown section", "a section of docs/SETTINGS.md")
		return false
	}
	l.skipping = false
	if l.lineNumbers[location{section: name}] > 0 {
		l.addProblem(code.SettingsDuplicate, n, "", "a duplicate section", "each section once")
		return true
	}
	l.lineNumbers[location{section: name}] = n
	return true
}

func (l *layout) keepKey(n int, line string) bool {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	multiline := strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`)
	if !found || !isKey(key) || multiline {
		l.addProblem(code.SettingsSyntax, n, "", line, "Key = Value on one line, or a comment after #")
		return false
	}
	if l.section == "" {
		l.addProblem(code.SettingsSyntax, n, key, "a key before any section", "a section such as [Gateway] before it")
		return false
	}
	loc := location{l.section, key}
	if l.lineNumbers[loc] > 0 {
		l.addProblem(code.SettingsDuplicate, n, key, "a duplicate key", "each key once in a section")
		return false
	}
	l.lineNumbers[loc] = n
	return true
}

func isKey(key string) bool {
	return isName(key) && !strings.ContainsAny(key, "-_")
}

func (l *layout) addProblem(kind code.Code, n int, key, got, want string) {
	l.problems = append(l.problems, Problem{Code: kind, Line: n, Section: l.section, Key: key, Got: got, Want: want})
}
