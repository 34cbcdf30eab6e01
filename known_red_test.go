package mustardsaddle_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// knownRedLine is the form of a line of KNOWN-RED.txt, as CONTRIBUTING.md states it.
var knownRedLine = regexp.MustCompile(`^Test=([A-Z]\w*) Command="[^"]+" Seed=\S+ Seen="[^"]+" Issue=\d+$`)

// checkKnownRed returns what is wrong with the text of KNOWN-RED.txt.
func checkKnownRed(text string, exists func(test string) bool) []string {
	var wrong []string
	seen := make(map[string]bool)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		m := knownRedLine.FindStringSubmatch(line)
		switch {
		case m == nil:
			wrong = append(wrong, "line has another form than CONTRIBUTING.md states: "+line)
		case seen[m[1]]:
			wrong = append(wrong, "test is listed twice: "+m[1])
		case !exists(m[1]):
			wrong = append(wrong, "test does not exist: "+m[1])
		default:
			seen[m[1]] = true
		}
	}
	return wrong
}

// testExists reports whether a test file has a test of that name.
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

func TestKnownRed(t *testing.T) {
	text, err := os.ReadFile("KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, wrong := range checkKnownRed(string(text), func(test string) bool { return testExists(t, test) }) {
		t.Error("KNOWN-RED.txt: " + wrong)
	}
}

func TestKnownRedForm(t *testing.T) {
	const good = `Test=TestStop Command="go test -race -run TestStop ./internal/product/instance" Seed=1 Seen="got 1 call cut, want 0" Issue=4`
	cases := []struct {
		name, text string
		wrong      int
	}{
		{"nothing", "", 0},
		{"one entry", good + "\n", 0},
		{"twice", good + "\n" + good + "\n", 1},
		{"no issue", strings.TrimSuffix(good, " Issue=4"), 1},
		{"no such test", strings.Replace(good, "Test=TestStop", "Test=TestNone", 1), 1},
		{"prose", "the stop test fails now and then", 1},
	}
	for _, c := range cases {
		got := checkKnownRed(c.text, func(test string) bool { return test == "TestStop" })
		if len(got) != c.wrong {
			t.Errorf("%s: got %q, want %d mistakes", c.name, got, c.wrong)
		}
	}
}
