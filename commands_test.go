package mustardsaddle_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// commandPattern matches the test commands in the documents: their flags and
// folder.
var commandPattern = regexp.MustCompile(`go test ([^` + "`" + `\n]*?)(\./[a-z/]+)`)

// flagPattern matches the pattern of -run, -bench or -fuzz, with or without quotes.
var flagPattern = regexp.MustCompile(`-(run|bench|fuzz) (?:'([^']*)'|([^ ]+))`)

// TestDocumentedCommandsMatchTests compares the test commands in the documents with
// the existing tests. A command whose pattern matches no test passes without
// running anything.
func TestDocumentedCommandsMatchTests(t *testing.T) {
	documents, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := 0
	for _, document := range append(documents, "CONTRIBUTING.md", "README.md") {
		raw, err := os.ReadFile(document)
		if err != nil {
			t.Fatal(err)
		}
		for _, command := range commandPattern.FindAllStringSubmatch(string(raw), -1) {
			if strings.HasSuffix(command[2], "/area/noun") {
				continue // an example without a real folder
			}
			commands++
			checkCommand(t, document, command[1], command[2])
		}
	}
	if commands == 0 {
		t.Errorf("got no test command in %d documents, want at least one", len(documents))
	}
}

func checkCommand(t *testing.T, document, flags, folder string) {
	t.Helper()
	names := testFunctions(t, folder)
	for _, flag := range flagPattern.FindAllStringSubmatch(flags, -1) {
		pattern := strings.ReplaceAll(flag[2]+flag[3], `\|`, "|")
		if pattern == "xxx" {
			continue // runs no tests along with -bench or -fuzz
		}
		for part := range strings.SplitSeq(pattern, "|") {
			matched := countMatches(t, names, flag[1], part)
			if matched == 0 || flag[1] == "fuzz" && matched > 1 {
				t.Errorf("%s: -%s %s in %s matches %d functions, want at least one, and exactly one for -fuzz", document, flag[1], part, folder, matched)
			}
		}
	}
}

// countMatches returns how many functions match a pattern, among those of the kind
// that the flag selects.
func countMatches(t *testing.T, names map[string]bool, flag, pattern string) int {
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
