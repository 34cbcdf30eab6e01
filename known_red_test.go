package mustardsaddle_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// entryPattern is the form of a line of KNOWN-RED.txt, as stated in
// CONTRIBUTING.md.
var entryPattern = regexp.MustCompile(`^Test=([A-Z]\w*) Command="[^"]+" Seed=\S+ Seen="[^"]+" Issue=\d+$`)

// checkEntries returns the problems in the text of KNOWN-RED.txt.
func checkEntries(text string, exists func(test string) bool) []string {
	var problems []string
	seen := make(map[string]bool)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		match := entryPattern.FindStringSubmatch(line)
		switch {
		case match == nil:
			problems = append(problems, "line does not have the form that CONTRIBUTING.md states: "+line)
		case seen[match[1]]:
			problems = append(problems, "test is listed twice: "+match[1])
		case !exists(match[1]):
			problems = append(problems, "test does not exist: "+match[1])
		default:
			seen[match[1]] = true
		}
	}
	return problems
}

// testExists reports whether any test file contains a test of that name.
func testExists(t *testing.T, test string) bool {
	t.Helper()
	found := false
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		found = found || strings.Contains(string(text), "\nfunc "+test+"(")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// TestKnownRed guards against entries of KNOWN-RED.txt that have another form than
// CONTRIBUTING.md states or that name a test that does not exist.
func TestKnownRed(t *testing.T) {
	text, err := os.ReadFile("KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, problem := range checkEntries(string(text), func(test string) bool { return testExists(t, test) }) {
		t.Error("KNOWN-RED.txt: " + problem)
	}
}

func TestKnownRedForm(t *testing.T) {
	const valid = `Test=TestStop Command="go test -race -run TestStop ./internal/product/instance" Seed=1 Seen="got 1 call cut, want 0" Issue=4`
	cases := []struct {
		name, text string
		problems   int
	}{
		{"empty file", "", 0},
		{"one entry", valid + "\n", 0},
		{"duplicate entry", valid + "\n" + valid + "\n", 1},
		{"no issue", strings.TrimSuffix(valid, " Issue=4"), 1},
		{"unknown test", strings.Replace(valid, "Test=TestStop", "Test=TestNone", 1), 1},
		{"free text", "the stop test fails now and then", 1},
	}
	for _, c := range cases {
		got := checkEntries(c.text, func(test string) bool { return test == "TestStop" })
		if len(got) != c.problems {
			t.Errorf("%s: got %q, want %d problems", c.name, got, c.problems)
		}
	}
}
