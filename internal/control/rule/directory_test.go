package rule_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// directoryTable compiles rules of a directory.
func directoryTable(t *testing.T, lines ...string) *rule.Table {
	t.Helper()
	file, problems, ok := rule.ParseDirectory(strings.Join(lines, "\n"))
	if !ok || len(problems) > 0 {
		t.Fatalf("got problems %v, want none", problems)
	}
	return rule.Compile(file)
}

// TestLiteralPrefixes checks which prefix of a directory matches a path, as the request states it.
func TestLiteralPrefixes(t *testing.T) {
	var lines []string
	for _, prefix := range []string{"/", "/a/", "/a/b/", "/a b/", "/a%20b/", "/é/", "/100%/", "/x/../y/", "/{Name}/*/", "/a%2fb/", "//", "/50%/a%20b/"} {
		lines = append(lines, "Host=h "+rule.EncodePrefix(prefix)+" Service="+rule.EncodeName(prefix)+" # Tan: x")
	}
	lines = append(lines, "Host=h%3A81 Path=/* Service=port # Tan: x", "Host=h_2 Path=/* Service=underscore # Tan: x", "Prefix=/all%20hosts/ Service=all # Tan: x")
	table := directoryTable(t, lines...)
	for _, test := range []struct{ host, path, want string }{
		{"h", "/q", "/"},
		{"H:80", "/a/q", "/a/"},
		{"h", "/a", "/"},
		{"h", "/a/b/c/d/e/f", "/a/b/"},
		{"h", "/%61/q", "/a/"},
		{"h", "/a%20b/q", "/a%20b/"},
		{"h", "/a+b/q", "/"},
		{"h", "/%C3%A9/q", "/é/"},
		{"h", "/%c3%a9/q", "/é/"},
		{"h", "/100%25/q", "/100%/"},
		{"h", "/50%25/a%20b/q", "/50%/a%20b/"},
		{"h", "/x/../y/q", "/x/../y/"},
		{"h", "/x/../q", ""},
		{"h", "/a/%2e%2e/q", ""},
		{"h", "/{Name}/*/q", "/{Name}/*/"},
		{"h", "/Name/b/q", "/"},
		{"h", "/a%2Fb/q", "/a%2fb/"},
		{"h", "/a%2fb/{q}", "/a%2fb/"},
		{"h", "//q", "//"},
		{"h:81", "/a/q", "port"},
		{"h_2", "/a/q", "underscore"},
		{"h", "/all%20hosts/q", "/"},
		{"other", "/all%20hosts/q", "all"},
		{"other", "/q", ""},
	} {
		r := httptest.NewRequest(http.MethodGet, test.path, http.NoBody)
		r.Host = test.host
		found, ok := table.Match(r)
		got := ""
		if ok {
			got = table.TrafficSplit(found).Services()[0].Service
		}
		if got != test.want {
			t.Errorf("%s%s: got service %q, want %q", test.host, test.path, got, test.want)
		}
		chosen := 0
		for _, candidate := range table.Explain(r) {
			if candidate.Verdict == rule.Chosen {
				chosen++
				if candidate.Rule != found || candidate.Line == 0 {
					t.Errorf("%s%s: Explain chose %+v, want %+v", test.host, test.path, candidate, found)
				}
			}
		}
		if chosen > 1 || ok != (chosen == 1) {
			t.Errorf("%s%s: Explain chose %d rules, want the one that matches", test.host, test.path, chosen)
		}
	}
}

// TestNamesAreDecodedAsWritten checks that each text has one encoding, which is one field of a
// line, and that rules print as the line that they were parsed from.
func TestNamesAreDecodedAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(1, 20, -1).Draw(t, "name")
		prefix := "/" + rapid.StringN(0, 20, -1).Draw(t, "prefix") + "/"
		line := "Host=" + rule.EncodeName(strings.ToLower(name)) + " " + rule.EncodePrefix(prefix) + " Service=" + rule.EncodeName(name) + ":1,other:2 # Tan: x"
		file, problems, _ := rule.ParseDirectory(line)
		if len(problems) > 0 || len(file.Rules()) != 1 {
			t.Fatalf("got problems %v and rules %v for %s, want one rule", problems, file.Rules(), line)
		}
		r := file.Rules()[0]
		if r.Prefix != prefix && r.Path != prefix+"*" || r.Services()[0].Service != name || r.String() != line {
			t.Errorf("got %q of %+v, want %q", r.String(), r, line)
		}
	})
}

// TestOperatorsWriteNoEncodedValues checks that a rules file of operators keeps its own alphabet
// and limits.
func TestOperatorsWriteNoEncodedValues(t *testing.T) {
	for _, test := range []struct {
		line string
		want code.Code
	}{
		{"Prefix=/a%20b/ Service=Booking # Tan: x", code.RuleUnknownField},
		{"Path=/a Service=shed.v2 # Tan: x", code.RuleBadValue},
		{"Path=/a Service=shed%23b # Tan: x", code.RuleBadValue},
		{"Host=a_b Path=/a Service=Booking # Tan: x", code.RuleBadValue},
		{"Path=/a Service=Booking Attempts=17 # Tan: x", code.RuleBadValue},
		{"Path=/a Service=Booking Priority=1001 # Tan: x", code.RuleBadValue},
		{"Path=/a Service=Booking Deadline=25h # Tan: x", code.RuleBadValue},
		{"Customer=a%20b # Tan: x", code.RuleBadValue},
		{"Service=Booking Probe=/h?a=b # Tan: x", code.RuleBadValue},
	} {
		if _, problems := rule.Parse(test.line); len(problems) == 0 || problems[0].Code != test.want {
			t.Errorf("%s: got problems %v, want %v", test.line, problems, test.want)
		}
	}
}

// TestInvalidDirectoryValues checks that values which no adapter writes are refused.
func TestInvalidDirectoryValues(t *testing.T) {
	for _, line := range []string{
		"Path=/a Service=shed%2 # Tan: x", "Path=/a Service=%41 # Tan: x", "Path=/a Service=%7e # Tan: x", "Host= Path=/a Service=a # Tan: x",
		"Prefix=/a Service=a # Tan: x", "Prefix=a/ Service=a # Tan: x", "Prefix=/a/ Path=/a Service=a # Tan: x", "Prefix=/a/ # Tan: x",
		"Prefix=/a/ Probe=/x Service=a # Tan: x", "Customer=a%0Ab # Tan: x", "Customer=%20a # Tan: x", "Service=a Probe=health # Tan: x",
	} {
		if _, problems, _ := rule.ParseDirectory(line); len(problems) == 0 {
			t.Errorf("%s: got no problem, want one", line)
		}
	}
}
