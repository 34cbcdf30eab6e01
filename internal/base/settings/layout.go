package settings

import (
	"strings"

	"gopkg.in/ini.v1"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// layout is the shape of a settings file: where its sections and keys stand.
// The INI library stops at the first line that it can't read and lets a second
// key replace the first without a word, so the scan takes such lines out before
// the library reads the rest.
type layout struct {
	// text is the file without the lines that have a problem.
	text string
	// at holds the line number of each section and key.
	at map[place]int
	// problems are those of the lines taken out.
	problems []Problem

	section string
	// skipping is true within a section that was refused.
	skipping bool
}

// place names a section, or a key in a section.
type place struct {
	section, key string
}

// line returns the line of a key, or else of its section, or 0.
func (l layout) line(section, key string) int {
	if n := l.at[place{section, key}]; n > 0 {
		return n
	}
	return l.at[place{section: section}]
}

// scan finds the sections and keys of a settings file.
func scan(text string) layout {
	l := layout{at: make(map[place]int)}
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

// keep tells whether the INI library may read a line.
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
	comment := rest == "" || (rest[0] == '#' || rest[0] == ';') && !strings.Contains(rest, "]")
	l.section, l.skipping = name, true
	if !closed || name == "" || !comment {
		l.add(code.SettingsSyntax, n, "", line, "a section such as [Gateway]")
		return false
	}
	if name == ini.DefaultSection {
		l.add(code.SettingsUnknownSection, n, "", "an unknown section", "a section of docs/SETTINGS.md")
		return false
	}
	l.skipping = false
	if l.at[place{section: name}] > 0 {
		l.add(code.SettingsDuplicate, n, "", "a second section of this name", "each section once")
		return true
	}
	l.at[place{section: name}] = n
	return true
}

func (l *layout) keepKey(n int, line string) bool {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	multiline := strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`)
	if !found || !isKey(key) || multiline {
		l.add(code.SettingsSyntax, n, "", line, "Key = Value on one line, or a comment after #")
		return false
	}
	if l.section == "" {
		l.add(code.SettingsSyntax, n, key, "a key before any section", "a section such as [Gateway] first")
		return false
	}
	at := place{l.section, key}
	if l.at[at] > 0 {
		l.add(code.SettingsDuplicate, n, key, "a second key of this name", "each key once in a section")
		return false
	}
	l.at[at] = n
	return true
}

func isKey(key string) bool {
	return isName(key) && !strings.ContainsAny(key, "-_")
}

func (l *layout) add(kind code.Code, n int, key, got, want string) {
	l.problems = append(l.problems, Problem{Code: kind, Line: n, Section: l.section, Key: key, Got: got, Want: want})
}
