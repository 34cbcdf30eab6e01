package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/product/event"
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

// numbers returns the number of each event by its name.
func numbers() map[string]int {
	byName := make(map[string]int)
	for n := range 10000 {
		if name := event.Event(n).String(); !strings.HasPrefix(name, "Event(") {
			byName[name] = n
		}
	}
	return byName
}

// TestTableNamesEveryEvent compares list.go with docs/EVENTS.md, whose rows are
// | number | name | meaning | what to do |.
func TestTableNamesEveryEvent(t *testing.T) {
	text, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Za-z]+) \|(.*)\|$`)
	rows := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		if _, twice := rows[m[2]]; twice {
			t.Errorf("docs/EVENTS.md has two rows for %s", m[2])
		}
		rows[m[2]] = m[1]
		for _, cell := range strings.Split(m[3], " | ") {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("docs/EVENTS.md: row of %s has an empty cell", m[2])
			}
		}
	}
	byName := numbers()
	for _, name := range constants(t) {
		n, generated := byName[name]
		switch {
		case !generated:
			t.Errorf("%s has no generated name; run go generate ./internal/product/event", name)
		case rows[name] != fmt.Sprint(n):
			t.Errorf("docs/EVENTS.md has number %q for %s; add or mend the row: | %d | %s | meaning | what to do |", rows[name], name, n, name)
		}
		delete(rows, name)
	}
	for name := range rows {
		t.Errorf("docs/EVENTS.md has a row for %s, which list.go lacks", name)
	}
}

func TestLines(t *testing.T) {
	convey.Convey("Given a logger at level warn", t, func() {
		var out bytes.Buffer
		logger := event.NewLogger(&out, "warn", "gateway-1")
		convey.Convey("A routine line is left out", func() {
			event.Info(logger, event.Started).Str("Listen", "127.0.0.1:1").Send()
			convey.So(out.Len(), convey.ShouldEqual, 0)
		})
		convey.Convey("A warning is one JSON object with the common fields", func() {
			event.Warn(logger, event.StoreFailed).Str("Key", "Rules/Accepted").Send()
			var line struct {
				Time                 time.Time
				Level, Name, Gateway string
				Event                int
				Key                  string
			}
			convey.So(json.Unmarshal(out.Bytes(), &line), convey.ShouldBeNil)
			convey.So(line.Time.IsZero(), convey.ShouldBeFalse)
			convey.So(line.Level, convey.ShouldEqual, "Warn")
			convey.So(line.Event, convey.ShouldEqual, int(event.StoreFailed))
			convey.So(line.Name, convey.ShouldEqual, "StoreFailed")
			convey.So(line.Gateway, convey.ShouldEqual, "gateway-1")
			convey.So(line.Key, convey.ShouldEqual, "Rules/Accepted")
			convey.So(bytes.Count(out.Bytes(), []byte("\n")), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("An error line carries the error's text", t, func() {
		var out bytes.Buffer
		event.Error(event.NewLogger(&out, "info", "g"), event.StoreFailed).Err(errors.New("refused")).Send()
		convey.So(out.String(), convey.ShouldContainSubstring, "refused")
	})
}

// BenchmarkRouteLine measures one routing line with the usual number of fields.
func BenchmarkRouteLine(b *testing.B) {
	logger := event.NewLogger(io.Discard, "info", "gateway-1")
	b.ReportAllocs()
	for b.Loop() {
		event.Info(logger, event.RouteChosen).Str("Attempt", "gateway-1-1-1").Str("Service", "Booking").
			Str("Server", "booking-01").Str("Reason", "Preferred").Int("Candidates", 20).Send()
	}
}
