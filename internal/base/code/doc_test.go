package code_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// catalog is a Go file that declares numeric constants, and the page that documents
// each of them.
type catalog struct {
	list, page string
	// name returns the generated String of a number.
	name func(n int) string
}

func catalogs() []catalog {
	return []catalog{
		{"list.go", "CODES.md", func(n int) string { return code.Code(n).String() }},
		{"../event/list.go", "EVENTS.md", func(n int) string { return event.Event(n).String() }},
	}
}

// constants returns the names of the constants declared in the Go file.
func (l catalog) constants(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), l.list, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			names = append(names, spec.Names[0].Name)
		}
		return true
	})
	return names
}

// numbers maps the name of each constant to its number.
func (l catalog) numbers() map[string]string {
	byName := make(map[string]string)
	for n := range 10000 {
		if name := l.name(n); !strings.Contains(name, "(") {
			byName[name] = strconv.Itoa(n)
		}
	}
	return byName
}

// rowPattern matches a table row whose first cells are number and name.
var rowPattern = regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Za-z]+) \|(.*)\|$`)

// rows maps the name in each table row of the page to its number.
func (l catalog) rows(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("../../../docs/" + l.page)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for _, m := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		if rows[m[2]] != "" {
			t.Errorf("docs/%s has duplicate rows for %s", l.page, m[2])
		}
		for _, cell := range strings.Split(m[3], " | ") {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("docs/%s: row for %s has an empty cell", l.page, m[2])
			}
		}
		rows[m[2]] = m[1]
	}
	return rows
}

// TestDocsListEveryConstant checks that the pages document exactly the declared
// codes and events.
func TestDocsListEveryConstant(t *testing.T) {
	for _, l := range catalogs() {
		numbers, rows := l.numbers(), l.rows(t)
		for _, name := range l.constants(t) {
			switch n := numbers[name]; {
			case n == "":
				t.Errorf("%s of %s has no generated String; run go generate ./internal/base/...", name, l.list)
			case rows[name] != n:
				t.Errorf("docs/%s has number %q for %s; add or correct the row | %s | %s | …, with as many cells as the other rows", l.page, rows[name], name, n, name)
			}
			delete(rows, name)
		}
		for name := range rows {
			t.Errorf("docs/%s has a row for %s, which %s does not declare", l.page, name, l.list)
		}
	}
}

func TestError(t *testing.T) {
	convey.Convey("Given an error with a code that wraps another error", t, func() {
		cause := errors.New("connection refused")
		err := errors.Annotate(code.Wrapf(code.StoreUnavailable, cause, "read %s", "Rules/Accepted"), "refresh")
		convey.Convey("Its code and cause are found below an annotation", func() {
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
			convey.So(errors.Is(err, cause), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldEqual, "refresh: read Rules/Accepted: connection refused (code 3002)")
		})
	})
	convey.Convey("An error without a code is Internal, and nil is OK", t, func() {
		convey.So(code.Of(errors.New("x")), convey.ShouldEqual, code.Internal)
		convey.So(code.Of(nil), convey.ShouldEqual, code.OK)
	})
}
