package mustardsaddle_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wantFaults lists the rows that docs/FAULTS.md must have: single faults, and two
// faults at once.
var wantFaults = []string{
	"server killed", "server frozen", "server slow", "server fails fast", "server drains",
	"server cold", "report misleads", "connection silent", "store down", "store slow",
	"write done, answer lost", "holder paused", "edits race", "VM lost", "VM added",
	"VM list stale", "peer link cut", "servers out of reach", "two at once",
}

// wantSteps lists the columns that docs/FAULTS.md must have.
var wantSteps = []string{
	"match", "admit", "choose", "send", "await header", "relay body",
	"submit", "accept", "spread", "membership", "start", "stop",
}

var (
	refPattern   = regexp.MustCompile(`^[TNU][0-9]+$`)
	testPattern  = regexp.MustCompile("^`(Test[A-Za-z0-9_]+|Fuzz[A-Za-z0-9_]+)`$")
	issuePattern = regexp.MustCompile(`^[0-9]+$`)
)

// tableRows returns the cells of each table row under a heading.
func tableRows(t *testing.T, document, heading string) [][]string {
	t.Helper()
	_, rest, ok := strings.Cut(document, "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("docs/FAULTS.md has no heading %q", heading)
	}
	rest, _, _ = strings.Cut(rest, "\n## ")
	var rows [][]string
	for line := range strings.SplitSeq(rest, "\n") {
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	return rows
}

// testFunctions returns the names of the functions in the test files of a folder.
func testFunctions(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}

// TestFaultMatrixIsComplete guards against faults and steps of a call that
// docs/FAULTS.md leaves out, and against references there to tests that do not exist,
// for example after a test was renamed.
func TestFaultMatrixIsComplete(t *testing.T) {
	raw, err := os.ReadFile("docs/FAULTS.md")
	if err != nil {
		t.Fatal(err)
	}
	document := string(raw)
	used := make(map[string]bool)
	matrix := tableRows(t, document, "Matrix")
	checkHeader(t, matrix[0])
	for i, row := range matrix[1:] {
		if i >= len(wantFaults) || row[0] != wantFaults[i] {
			t.Errorf("row %d: got fault %q, want the list of faults in order", i+1, row[0])
			continue
		}
		checkCells(t, row, used)
	}
	if len(matrix)-1 != len(wantFaults) {
		t.Errorf("got %d faults, want %d", len(matrix)-1, len(wantFaults))
	}
	checkLegend(t, document, used)
}

func checkHeader(t *testing.T, header []string) {
	t.Helper()
	if got, want := strings.Join(header[1:], ","), strings.Join(wantSteps, ","); got != want {
		t.Errorf("got steps %s, want %s", got, want)
	}
}

func checkCells(t *testing.T, row []string, used map[string]bool) {
	t.Helper()
	if len(row) != len(wantSteps)+1 {
		t.Errorf("fault %q: got %d cells, want %d", row[0], len(row)-1, len(wantSteps))
	}
	for i, cell := range row[1:] {
		refs := strings.Fields(cell)
		if len(refs) == 0 {
			t.Errorf("fault %q, cell %d: got an empty cell, want references", row[0], i+1)
		}
		for _, ref := range refs {
			if !refPattern.MatchString(ref) {
				t.Errorf("fault %q, cell %d: got %q, want T, N or U with a number", row[0], i+1, ref)
			}
			used[ref] = true
		}
	}
}

// checkLegend checks the tables that define the references of the matrix.
func checkLegend(t *testing.T, document string, used map[string]bool) {
	t.Helper()
	defined := make(map[string]bool)
	for _, row := range legendRows(t, document, "Tests", "T", 3, defined) {
		match := testPattern.FindStringSubmatch(row[1])
		if match == nil {
			t.Errorf("%s: got %q, want a test name in backquotes", row[0], row[1])
			continue
		}
		if !testFunctions(t, strings.Trim(row[2], "`"))[match[1]] {
			t.Errorf("%s: no test %s in %s", row[0], match[1], row[2])
		}
	}
	for _, row := range legendRows(t, document, "Cannot occur", "N", 2, defined) {
		if len(row[1]) < 20 {
			t.Errorf("%s: got no reason why the fault cannot occur there, want one", row[0])
		}
	}
	for _, row := range legendRows(t, document, "Not proved", "U", 3, defined) {
		if len(row[1]) < 20 || !issuePattern.MatchString(row[2]) {
			t.Errorf("%s: got %q, want a description of what is missing and an issue number", row[0], row[1:])
		}
	}
	for ref := range used {
		if !defined[ref] {
			t.Errorf("%s is used but not defined", ref)
		}
	}
	for ref := range defined {
		if !used[ref] {
			t.Errorf("%s is defined but not used", ref)
		}
	}
}

// legendRows returns the rows of a table that defines references of one kind, and
// records each of them in defined.
func legendRows(t *testing.T, document, heading, kind string, cells int, defined map[string]bool) [][]string {
	t.Helper()
	var rows [][]string
	for _, row := range tableRows(t, document, heading)[1:] {
		if len(row) != cells || !strings.HasPrefix(row[0], kind) || !refPattern.MatchString(row[0]) || defined[row[0]] {
			t.Errorf("%s: got row %q, want a new %s and %d cells", heading, row, kind, cells)
			continue
		}
		defined[row[0]] = true
		rows = append(rows, row)
	}
	return rows
}
