package mustardsaddle_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// commandPattern finds the test commands that pages give: the flags, and the folder.
var commandPattern = regexp.MustCompile(`go test ([^` + "`" + `\n]*?)(\./[a-z/]+)`)

// flagPattern finds the pattern of -run, -bench or -fuzz, in quotes or without.
var flagPattern = regexp.MustCompile(`-(run|bench|fuzz) (?:'([^']*)'|([^ ]+))`)

// TestCommandsOfPagesRunTests compares the test commands in the pages with the tests
// there are, so that none of them runs nothing.
func TestCommandsOfPagesRunTests(t *testing.T) {
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := 0
	for _, page := range append(pages, "CONTRIBUTING.md", "README.md") {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, command := range commandPattern.FindAllStringSubmatch(string(raw), -1) {
			if strings.HasSuffix(command[2], "/area/noun") {
				continue // an example that names no folder
			}
			commands++
			checkCommand(t, page, command[1], command[2])
		}
	}
	if commands == 0 {
		t.Errorf("found no test command in %d pages, want some", len(pages))
	}
}

func checkCommand(t *testing.T, page, flags, folder string) {
	t.Helper()
	names := testsOf(t, folder)
	for _, flag := range flagPattern.FindAllStringSubmatch(flags, -1) {
		pattern := strings.ReplaceAll(flag[2]+flag[3], `\|`, "|")
		if pattern == "xxx" {
			continue // runs nothing beside -bench or -fuzz
		}
		for part := range strings.SplitSeq(pattern, "|") {
			matched := matching(t, names, flag[1], part)
			if matched == 0 || flag[1] == "fuzz" && matched > 1 {
				t.Errorf("%s: -%s %s in %s matches %d functions, want one at least, and just one to fuzz", page, flag[1], part, folder, matched)
			}
		}
	}
}

// matching returns how many functions of the kind that a flag runs match a pattern.
func matching(t *testing.T, names map[string]bool, flag, pattern string) int {
	t.Helper()
	prefix := map[string]string{"run": "Test", "bench": "Benchmark", "fuzz": "Fuzz"}[flag]
	expression, err := regexp.Compile(pattern)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for name := range names {
		if strings.HasPrefix(name, prefix) && expression.MatchString(name) {
			n++
		}
	}
	return n
}
