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

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 256 << 10

// servicePrefix is the prefix of the names of service sections.
const servicePrefix = "Service "

// Problem is one error in a settings file.
type Problem struct {
	// Code is the result code.
	Code code.Code
	// Line is the line number from 1, or 0 if the error has no line.
	Line int
	// Section is the section, empty if the error concerns the whole file.
	Section string
	// Key is the key, empty if the error concerns the whole section.
	Key string
	// Got describes what was found.
	Got string
	// Want describes what is accepted.
	Want string
}

// String returns the problem as one line of text for operators.
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

// Load reads a settings file and applies it to the defaults. If it returns any
// problem, the settings must not be used.
func Load(path string) (Settings, []Problem) {
	text, err := read(path)
	if err != nil {
		want := fmt.Sprintf("a readable file of at most %d bytes", MaxFileBytes)
		return Settings{}, []Problem{{Code: code.SettingsUnreadable, Got: err.Error(), Want: want}}
	}
	return Parse(text)
}

// read reads at most one byte more than MaxFileBytes, so that a wrong path, such as
// that of a device, cannot exhaust memory.
func read(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	return string(text), err
}

// Parse parses the text of a settings file, applies it to the defaults, and returns
// every error in it.
func Parse(text string) (Settings, []Problem) {
	if len(text) > MaxFileBytes {
		return Settings{}, []Problem{{
			Code: code.SettingsTooLarge, Got: "a larger file", Want: fmt.Sprintf("at most %d bytes", MaxFileBytes),
		}}
	}
	if !utf8.ValidString(text) || strings.ContainsRune(text, 0) {
		return Settings{}, []Problem{{Code: code.SettingsSyntax, Got: "invalid UTF-8 or a NUL byte", Want: "UTF-8 text"}}
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
	c.checkFile(file)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return c.settings, c.problems
}

// checker sets settings from an INI file and collects the problems.
type checker struct {
	lines    layout
	settings Settings
	problems []Problem
}

func (c *checker) checkFile(file *ini.File) {
	list := gatewayList()
	for _, section := range sectionsOf(list) {
		found, _ := file.GetSection(section)
		checkSection(c, section, found, inSection(list, section), &c.settings)
	}
	for _, section := range file.Sections() {
		c.checkOtherSection(section)
	}
	c.checkConflicts()
}

// checkOtherSection checks a section that is not one of gatewayList: a service
// section, or an unknown one.
func (c *checker) checkOtherSection(section *ini.Section) {
	service, isService := strings.CutPrefix(section.Name(), servicePrefix)
	switch {
	case isService && isName(service):
		c.checkService(section, service)
	case isService:
		c.addProblem(code.SettingsBadValue, section.Name(), "", "an invalid service name",
			fmt.Sprintf("[Service NAME] with 1 to %d letters, digits, - or _", maxNameBytes))
	case section.Name() == ini.DefaultSection:
		// The scan has removed keys outside of sections.
	case len(inSection(gatewayList(), section.Name())) == 0:
		c.addProblem(code.SettingsUnknownSection, section.Name(), "", "an unknown section",
			"one of "+strings.Join(sectionsOf(gatewayList()), ", ")+", "+sectionService)
	}
}

func (c *checker) checkService(section *ini.Section, service string) {
	v := defaultService(service)
	checkSection(c, section.Name(), section, serviceList(), &v)
	if v.NotRunHeader != "" && v.NotRunStatus == 0 {
		c.addProblem(code.SettingsConflict, section.Name(), "NotRunHeader", "a header without NotRunStatus",
			"a NotRunStatus that the header accompanies")
	}
	if v.NotRunHeader == "" && v.NotRunStatus > 0 {
		c.addProblem(code.SettingsConflict, section.Name(), "NotRunStatus", "a status without NotRunHeader",
			"a NotRunHeader, because other parties may send the status as well")
	}
	c.settings = c.settings.WithService(v)
}

// checkConflicts checks settings against each other.
func (c *checker) checkConflicts() {
	s := c.settings
	if s.Peers.Silent <= s.Peers.Heartbeat {
		c.addProblem(code.SettingsConflict, sectionPeers, "Silent", s.Peers.Silent.String(),
			"more than Heartbeat, which is "+s.Peers.Heartbeat.String())
	}
	if s.Zones.Leave == LeavePrice && s.Choice.Policy != PolicySurvey {
		c.addProblem(code.SettingsConflict, sectionZones, "Leave", s.Zones.Leave,
			LeaveAlways+" with the Policy "+s.Choice.Policy+", or the Policy "+PolicySurvey)
	}
	g := s.Gateway
	if conflicting(g.Listen, g.Admin) {
		c.addProblem(code.SettingsConflict, sectionGateway, "Admin", g.Admin, "an address other than Listen")
	}
	key := "Peer"
	if g.PeerListen != "" {
		key = "PeerListen"
	}
	if links := g.LinkAddress(); conflicting(g.Listen, links) || conflicting(g.Admin, links) {
		c.addProblem(code.SettingsConflict, sectionGateway, key, links, "an address other than Listen and Admin")
	}
}

// conflicting reports whether two addresses cannot both be listened on.
func conflicting(a, b string) bool {
	return a == b && !strings.HasSuffix(a, ":0")
}

func (c *checker) addProblem(kind code.Code, section, key, got, want string) {
	c.problems = append(c.problems, Problem{
		Code: kind, Line: c.lines.line(section, key), Section: section, Key: key, Got: got, Want: want,
	})
}

// checkSection sets target from the keys of one section. found is nil if the file does
// not have the section.
func checkSection[T any](c *checker, section string, found *ini.Section, list []setting[T], target *T) {
	present := make(map[string]bool)
	if found != nil {
		for _, key := range found.Keys() {
			present[key.Name()] = true
			checkKey(c, section, key, list, target)
		}
	}
	for _, item := range list {
		if item.Required && !present[item.Key] {
			c.addProblem(code.SettingsMissing, section, item.Key, "nothing", item.Accepts)
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
			c.addProblem(code.SettingsBadValue, section, item.Key, fmt.Sprintf("%q", key.Value()), item.Accepts)
		}
		return
	}
	c.addProblem(code.SettingsUnknownKey, section, key.Name(), "an unknown key", "one of "+strings.Join(names, ", "))
}

// sectionsOf returns the distinct sections of a list, in order.
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
