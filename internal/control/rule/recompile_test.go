package rule_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// tableLines are lines of a directory, several of which have the same key in an index of the table.
var tableLines = []string{
	"Host=h Path=/a/* Service=A # Tan: a", "Host=h Path=/a/* Service=A:90,B:10 # Tan: split", "Path=/a/* Service=B # Tan: any host",
	"Host=h Prefix=/a%20b/ Service=C # Tan: space", "Host=h Prefix=/a%2520b/ Service=D # Tan: stated space", "Host=h Prefix=/%2561%20b/ Service=E # Tan: two encodings",
	"Host=h Prefix=/a%252fb/ Service=F # Tan: slash", "Host=h Prefix=/a%252Fb/ Service=G # Tan: capital slash",
	"Host=h Path=/a/* Method=POST Service=E # Tan: post", "Host=h Path=/x/{Id} Service=A # Tan: pattern", "Host=h Path=/x/y Service=B # Tan: literal",
	"Service=A Probe=/a # Tan: probe", "Service=A:1,B:1 Probe=/ab # Tan: both", "Service=B Connections=3 # Tan: limit", "Idle=3s # Tan: idle",
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

// TestRecompiledTableIsTheCompiledOne guards against a table that still has removed rules, lacks new ones
// or finds another rule than one that is compiled from the whole file.
func TestRecompiledTableIsTheCompiledOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := rule.Compile(rule.NewDirectoryFile())
		for generation := range rapid.IntRange(1, 6).Draw(t, "versions") {
			lines := rapid.SliceOfN(rapid.SampledFrom(tableLines), 0, len(tableLines)).Draw(t, "lines")
			file, _, _ := rule.ParseDirectory(strings.Join(lines, "\n"))
			file = file.WithGeneration(int64(generation + 1))
			table = table.Recompile(file)
			if got, want := describeTable(table), describeTable(rule.Compile(file)); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}
