package rule_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// tableLines are lines of a directory, several of which have the same key in an index of the table.
var tableLines = []string{
	"Host=h Path=/a/* Service=A # Tan: a", "Host=h Path=/a/* Service=A:90,B:10 # Tan: split", "Path=/a/* Service=B # Tan: any host",
	"Host=h Prefix=/a%20b/ Service=C # Tan: space", "Host=h Prefix=/a%2520b/ Service=D # Tan: stated space", "Host=h Prefix=/%2561%20b/ Service=E # Tan: two encodings",
	"Host=h Prefix=/a%252fb/ Service=F # Tan: slash", "Host=h Prefix=/a%252Fb/ Service=G # Tan: capital slash",
	"Host=h Path=/a/* Method=POST Service=E # Tan: post", "Host=h Path=/x/{Id} Service=A # Tan: pattern", "Host=h Path=/x/y Service=B # Tan: literal",
	"Service=A Probe=/a # Tan: probe", "Service=A:1,B:1 Probe=/ab # Tan: both", "Service=B Connections=3 # Tan: limit", "Idle=3s # Tan: idle",
	"Path=/bad", "# Generation 4", "Customer=yarns Part=2 Keys=AV9-a8Wur0g3JAieklLMEw # Tan: more", "Customer=wool Part=2 Keys=AV9-a8Wur0g3JAieklLMEw # Tan: same key",
	"Evacuate=zone-a # Tan: a", "Evacuate=zone-b # Tan: b", "Customer=yarns Rate=2 # Tan: yarns", "Customer=wool # Tan: wool", "# a comment", "",
}

// describeTable returns what a table answers for a number of questions.
func describeTable(table *rule.Table) []any {
	answers := []any{table.IdleTimeout(), table.Evacuations(), table.Customers(), table.LimitsCustomers(), table.HasCustomers()}
	for _, service := range []string{"A", "B", "C"} {
		answers = append(answers, table.Service(service))
	}
	for _, path := range []string{"/a/q", "/a%20b/q", "/a%2520b/q", "/%61%20b/q", "/a%2Fb/q", "/a%252fb/q", "/x/y", "/x/7", "/"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			r := httptest.NewRequest(method, path, http.NoBody)
			r.Host = "h"
			found, ok := table.Match(r)
			answers = append(answers, found, ok, table.TrafficSplit(found).Services(), table.Explain(r))
		}
	}
	return answers
}

// genText draws rules of a directory with errors among them.
func genText(t *rapid.T, generation int64) mustardsaddle.RulesText {
	lines := rapid.SliceOfN(rapid.SampledFrom(tableLines), 0, len(tableLines)).Draw(t, "lines")
	return mustardsaddle.RulesText{Generation: generation, Text: strings.Join(lines, "\n")}
}

// TestRecompiledTableIsTheCompiledOne guards against a table that still has removed rules, lacks new ones
// or finds another rule than one that is compiled from the whole file.
func TestRecompiledTableIsTheCompiledOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := rule.Compile(rule.NewDirectoryFile())
		for generation := range rapid.IntRange(1, 6).Draw(t, "versions") {
			text := genText(t, int64(generation+1))
			file, _, _ := rule.ParseDirectory(text.Text)
			file = file.WithGeneration(text.Generation)
			table = table.Recompile(file)
			if got, want := describeTable(table), describeTable(rule.Compile(file)); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

// TestRevisionIsTheParsedVersion guards against a version that is prepared from the one in force and differs from
// the parsed one in its lines, its problems, its table or the change that peers get.
func TestRevisionIsTheParsedVersion(t *testing.T) {
	proceed := func(int) bool { return true }
	rapid.Check(t, func(t *rapid.T) {
		table, peer := rule.Compile(rule.NewDirectoryFile()), rule.Compile(rule.NewDirectoryFile())
		for generation := range rapid.IntRange(1, 6).Draw(t, "versions") {
			text := genText(t, int64(generation+1))
			want, problems, _ := rule.ParseDirectory(text.Text)
			want = want.WithGeneration(text.Generation)
			next, result := table.ReviseText(text, proceed)
			if result != rule.Applied || !next.Table.File.Equal(want) || !reflect.DeepEqual(next.Problems, problems) {
				t.Fatalf("got %s, problems %v and file %q, want problems %v and file %q", result, next.Problems, next.Table.File.Format(), problems, want.Format())
			}
			forwarded, result := peer.ReviseChange(next.Change, proceed)
			if result != rule.Applied || !forwarded.Table.File.Equal(want) {
				t.Fatalf("got %s for the change %+v", result, next.Change)
			}
			table, peer = next.Table, forwarded.Table
			for _, got := range []*rule.Table{table, peer} {
				if got, want := describeTable(got), describeTable(rule.Compile(want)); !reflect.DeepEqual(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		}
	})
}

// TestEndedRevisionChangesNothing guards against a version of which a part is in force after its
// preparation was ended.
func TestEndedRevisionChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := genText(t, 1), genText(t, 2)
		proceed := func(int) bool { return true }
		prepared, _ := rule.Compile(rule.NewDirectoryFile()).ReviseText(first, proceed)
		before := describeTable(prepared.Table)
		left := rapid.IntRange(0, 2*len(tableLines)).Draw(t, "steps")
		step := func(int) bool {
			left--
			return left >= 0
		}
		next, result := prepared.Table.ReviseText(second, step)
		if ended := left < 0; ended != (result == rule.Ended) || ended != (next.Table == nil) {
			t.Fatalf("got %s and table %v, want Ended and none: %v", result, next.Table, ended)
		}
		if got := describeTable(prepared.Table); !reflect.DeepEqual(got, before) {
			t.Fatalf("got %v in the table in force, want %v", got, before)
		}
	})
}
