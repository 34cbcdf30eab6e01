package code_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// constants returns the names of the constants of list.go.
func constants(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "list.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for _, name := range spec.Names {
				names = append(names, name.Name)
			}
		}
		return true
	})
	return names
}

// numbers returns the number of each code by its name.
func numbers() map[string]int {
	byName := make(map[string]int)
	for n := range 10000 {
		if name := code.Code(n).String(); !strings.HasPrefix(name, "Code(") {
			byName[name] = n
		}
	}
	return byName
}

// TestTableNamesEveryCode compares list.go with docs/CODES.md, whose rows are
// | number | name | status | meaning | what to do |.
func TestTableNamesEveryCode(t *testing.T) {
	text, err := os.ReadFile("../../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Za-z]+) \|(.*)\|$`)
	rows := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		if _, twice := rows[m[2]]; twice {
			t.Errorf("docs/CODES.md has two rows for %s", m[2])
		}
		rows[m[2]] = m[1]
		for _, cell := range strings.Split(m[3], " | ") {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("docs/CODES.md: row of %s has an empty cell", m[2])
			}
		}
	}
	byName := numbers()
	for _, name := range constants(t) {
		n, generated := byName[name]
		switch {
		case !generated:
			t.Errorf("%s has no generated name; run go generate ./internal/product/code", name)
		case rows[name] != fmt.Sprint(n):
			t.Errorf("docs/CODES.md has number %q for %s; add or mend the row: | %d | %s | - | meaning | what to do |", rows[name], name, n, name)
		}
		delete(rows, name)
	}
	for name := range rows {
		t.Errorf("docs/CODES.md has a row for %s, which list.go lacks", name)
	}
}

func TestError(t *testing.T) {
	convey.Convey("Given an error with a code around another error", t, func() {
		cause := errors.New("connection refused")
		err := errors.Annotate(code.Wrapf(code.StoreUnavailable, cause, "read %s", "Rules/Accepted"), "refresh")
		convey.Convey("Its code and cause are found through annotations", func() {
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
			convey.So(errors.Is(err, cause), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldEqual, "refresh: read Rules/Accepted: connection refused (code 3002)")
		})
	})
	convey.Convey("Errors without a code, and none, have codes of their own", t, func() {
		convey.So(code.Of(errors.New("x")), convey.ShouldEqual, code.Internal)
		convey.So(code.Of(nil), convey.ShouldEqual, code.OK)
	})
}
