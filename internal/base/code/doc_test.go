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

// table is a list of numbered constants, and the page that explains each.
type table struct {
	list, page string
	// name returns the generated name of a number.
	name func(n int) string
}

func tables() []table {
	return []table{
		{"list.go", "CODES.md", func(n int) string { return code.Code(n).String() }},
		{"../event/list.go", "EVENTS.md", func(n int) string { return event.Event(n).String() }},
	}
}

// constants returns the names of the constants of the list.
func (l table) constants(t *testing.T) []string {
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

// numbers returns the number of each constant by its name.
func (l table) numbers() map[string]string {
	byName := make(map[string]string)
	for n := range 10000 {
		if name := l.name(n); !strings.Contains(name, "(") {
			byName[name] = strconv.Itoa(n)
		}
	}
	return byName
}

// row matches a row whose first cells are number and name.
var row = regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Za-z]+) \|(.*)\|$`)

// rows returns the number of each row of the page by its name.
func (l table) rows(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("../../../docs/" + l.page)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		if rows[m[2]] != "" {
			t.Errorf("docs/%s has two rows for %s", l.page, m[2])
		}
		for _, cell := range strings.Split(m[3], " | ") {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("docs/%s: row of %s has an empty cell", l.page, m[2])
			}
		}
		rows[m[2]] = m[1]
	}
	return rows
}

// TestPagesNameEveryNumber compares the lists of codes and events with their pages.
func TestPagesNameEveryNumber(t *testing.T) {
	for _, l := range tables() {
		numbers, rows := l.numbers(), l.rows(t)
		for _, name := range l.constants(t) {
			switch n := numbers[name]; {
			case n == "":
				t.Errorf("%s of %s has no generated name; run go generate ./internal/product/...", name, l.list)
			case rows[name] != n:
				t.Errorf("docs/%s has number %q for %s; add or mend the row | %s | %s | …, with as many cells as the others", l.page, rows[name], name, n, name)
			}
			delete(rows, name)
		}
		for name := range rows {
			t.Errorf("docs/%s has a row for %s, which %s lacks", l.page, name, l.list)
		}
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
