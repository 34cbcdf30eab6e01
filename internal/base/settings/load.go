package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 256 << 10

// servicePrefix begins the name of a service's section.
const servicePrefix = "Service "

// Problem is one mistake in a settings file.
type Problem struct {
	// Code is the result code.
	Code code.Code
	// Line is the line number from 1, or 0 if the mistake is on no line.
	Line int
	// Section is the section, empty if the mistake concerns the whole file.
	Section string
	// Key is the key, empty if the mistake concerns the section.
	Key string
	// Got is what was found.
	Got string
	// Want is what is accepted.
	Want string
}

// String returns the problem as one line for an operator.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		_, _ = fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Section != "" {
		_, _ = fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	_, _ = fmt.Fprintf(&b, "got %s, want %s (code %d %s)", p.Got, p.Want, int(p.Code), p.Code)
	return b.String()
}

// Load reads a settings file over the defaults. If it returns any problem, the
// settings must not be used.
func Load(path string) (Settings, []Problem) {
	text, err := read(path)
	if err != nil {
		want := fmt.Sprintf("a readable file of at most %d bytes", MaxFileBytes)
		return Settings{}, []Problem{{Code: code.SettingsUnreadable, Got: err.Error(), Want: want}}
	}
	return Parse(text)
}

// read reads a file up to its bound, so that a wrong path such as a device
// can't fill the memory.
func read(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	return string(text), err
}

// Parse reads the text of a settings file over the defaults, and returns every
// mistake in it.
func Parse(text string) (Settings, []Problem) {
	if len(text) > MaxFileBytes {
		return Settings{}, []Problem{{
			Code: code.SettingsTooLarge, Got: "a larger file", Want: fmt.Sprintf("at most %d bytes", MaxFileBytes),
		}}
	}
	if !utf8.ValidString(text) || strings.ContainsRune(text, 0) {
		return Settings{}, []Problem{{Code: code.SettingsSyntax, Got: "bytes that are not text", Want: "UTF-8 text"}}
	}
	lines := scan(text)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00",
	}, []byte(lines.text))
	if err != nil {
		return Settings{}, append(lines.problems, Problem{Code: code.SettingsSyntax, Got: err.Error(), Want: "an INI file"})
	}
	c := &checker{lines: lines, problems: lines.problems, settings: Default()}
	c.file(file)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return c.settings, c.problems
}

// checker fills settings from an INI file and collects the problems.
type checker struct {
	lines    layout
	settings Settings
	problems []Problem
}

func (c *checker) file(file *ini.File) {
	list := gatewayList()
	for _, section := range sectionsOf(list) {
		found, _ := file.GetSection(section)
		check(c, section, found, inSection(list, section), &c.settings)
	}
	for _, section := range file.Sections() {
		c.otherSection(section)
	}
	c.relations()
}

// otherSection checks a section that isn't one of the gateway's own.
func (c *checker) otherSection(section *ini.Section) {
	service, isService := strings.CutPrefix(section.Name(), servicePrefix)
	switch {
	case isService && isName(service):
		c.service(section, service)
	case isService:
		c.add(code.SettingsBadValue, section.Name(), "", "a bad service name",
			fmt.Sprintf("[Service NAME] with 1 to %d letters, digits, - or _", maxNameBytes))
	case section.Name() == ini.DefaultSection:
		// The scan keeps keys outside sections out of the file.
	case len(inSection(gatewayList(), section.Name())) == 0:
		c.add(code.SettingsUnknownSection, section.Name(), "", "an unknown section",
			"one of "+strings.Join(sectionsOf(gatewayList()), ", ")+", "+sectionService)
	}
}

func (c *checker) service(section *ini.Section, service string) {
	v := defaultService(service)
	check(c, section.Name(), section, serviceList(), &v)
	if v.NotRunHeader != "" && v.NotRunStatus == 0 {
		c.add(code.SettingsConflict, section.Name(), "NotRunHeader", "a header without NotRunStatus",
			"a NotRunStatus that the header comes with")
	}
	if v.NotRunHeader == "" && v.NotRunStatus > 0 {
		c.add(code.SettingsConflict, section.Name(), "NotRunStatus", "a status without NotRunHeader",
			"a NotRunHeader, because other parties may send the status as well")
	}
	c.settings = c.settings.WithService(v)
}

// relations checks settings against each other.
func (c *checker) relations() {
	s := c.settings
	if s.Peers.Silent <= s.Peers.Heartbeat {
		c.add(code.SettingsConflict, sectionPeers, "Silent", s.Peers.Silent.String(),
			"more than Heartbeat, which is "+s.Peers.Heartbeat.String())
	}
	g := s.Gateway
	if same(g.Listen, g.Admin) {
		c.add(code.SettingsConflict, sectionGateway, "Admin", g.Admin, "an address other than Listen")
	}
	key := "Peer"
	if g.PeerListen != "" {
		key = "PeerListen"
	}
	if links := g.LinkAddress(); same(g.Listen, links) || same(g.Admin, links) {
		c.add(code.SettingsConflict, sectionGateway, key, links, "an address other than Listen and Admin")
	}
}

// same tells whether two addresses can't both be listened on.
func same(a, b string) bool {
	return a == b && !strings.HasSuffix(a, ":0")
}

func (c *checker) add(kind code.Code, section, key, got, want string) {
	c.problems = append(c.problems, Problem{
		Code: kind, Line: c.lines.line(section, key), Section: section, Key: key, Got: got, Want: want,
	})
}

// check sets the target from the keys of one section; found is nil if the file
// doesn't have it.
func check[T any](c *checker, section string, found *ini.Section, list []setting[T], target *T) {
	stated := make(map[string]bool)
	if found != nil {
		for _, key := range found.Keys() {
			stated[key.Name()] = true
			checkKey(c, section, key, list, target)
		}
	}
	for _, item := range list {
		if item.Required && !stated[item.Key] {
			c.add(code.SettingsMissing, section, item.Key, "nothing", item.Want)
		}
	}
}

func checkKey[T any](c *checker, section string, key *ini.Key, list []setting[T], target *T) {
	names := make([]string, 0, len(list))
	for _, item := range list {
		if item.Key != key.Name() {
			names = append(names, item.Key)
			continue
		}
		if !item.set(target, key.Value()) {
			c.add(code.SettingsBadValue, section, item.Key, fmt.Sprintf("%q", key.Value()), item.Want)
		}
		return
	}
	c.add(code.SettingsUnknownKey, section, key.Name(), "an unknown key", "one of "+strings.Join(names, ", "))
}

// sectionsOf returns the sections of a list, each once and in order.
func sectionsOf(list []setting[Settings]) []string {
	var sections []string
	for _, item := range list {
		if !slices.Contains(sections, item.Section) {
			sections = append(sections, item.Section)
		}
	}
	return sections
}

// inSection returns the settings of one section.
func inSection(list []setting[Settings], section string) []setting[Settings] {
	var found []setting[Settings]
	for _, item := range list {
		if item.Section == section {
			found = append(found, item)
		}
	}
	return found
}
