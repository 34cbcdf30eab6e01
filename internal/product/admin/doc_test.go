package admin_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// metricKinds maps the methods of a tally scope that create a metric to its kind.
var metricKinds = map[string]string{"Counter": "counter", "Gauge": "gauge", "Timer": "timer", "Histogram": "histogram"}

// metrics returns the kind of each metric that the product creates, by name. It finds
// calls such as scope.Counter("Calls") whose first argument is a string literal.
func metrics(t *testing.T) map[string]string {
	t.Helper()
	kinds := make(map[string]string)
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isProduct := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, "/standin/")
		if !isProduct {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if name, kind, ok := metricOf(n); ok {
				kinds[name] = kind
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return kinds
}

// metricOf returns the metric that a node creates, if it is such a call.
func metricOf(n ast.Node) (name, kind string, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isMethod || !isLiteral || literal.Kind != token.STRING {
		return "", "", false
	}
	name, err := strconv.Unquote(literal.Value)
	kind, ok = metricKinds[method.Sel.Name]
	return name, kind, ok && err == nil
}

// TestTableNamesEveryMetric checks that the table in docs/OPERATIONS.md lists exactly
// the metrics in the code, with their kinds. Its rows have the form
// | `Mustardsaddle_Name` | kind | labels | meaning |. A subscope adds a part before
// the name.
func TestTableNamesEveryMetric(t *testing.T) {
	text, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)^\\| `Mustardsaddle_(?:[A-Za-z]+_)*([A-Za-z]+)` \\| ([a-z]+) \\| [^|]+ \\| [^|]+ \\|$")
	rows := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		rows[m[1]] = m[2]
	}
	for name, kind := range metrics(t) {
		if rows[name] != kind {
			t.Errorf("docs/OPERATIONS.md has kind %q for metric %s; add or correct the row: | `Mustardsaddle_%s` | %s | labels | meaning |", rows[name], name, name, kind)
		}
		delete(rows, name)
	}
	for name := range rows {
		t.Errorf("docs/OPERATIONS.md has a row for metric %s, which is not in the code", name)
	}
}
