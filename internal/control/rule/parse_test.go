package rule_test

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// lineCode is a Problem without its text.
type lineCode struct {
	Line int
	Code code.Code
}

func lineCodes(problems []rule.Problem) []lineCode {
	var found []lineCode
	for _, p := range problems {
		found = append(found, lineCode{Line: p.Line, Code: p.Code})
	}
	return found
}

func TestParseErrors(t *testing.T) {
	const good = "Path=/a Service=S # Tan: why"
	for _, test := range []struct {
		name, text string
		want       []lineCode
	}{
		{"empty", "", nil},
		{"good", "# Generation 1\n" + good + "\n", nil},
		{"CRLF line endings", "# Generation 1\r\n" + good + "\r\n", nil},
		{"full-width colon in the comment", "Path=/a Service=S # 陳：排程", nil},
		{"every field", "Host=A.example Path=/a/{B}/* Method=GET Service=S-1 Deadline=2s Repeat=Claim # Tan: why", nil},
		{"header of Rules/InForce", "# Format InForce 1\n# Generation 1\n# Submission 2\n# Time 2026-01-02T03:04:05Z\n# VM Name=g-1 Generation=1\n" +
			"# Code 2015 Line 3 Submission 2 text\n" + good, nil},
		{"several errors", "Path=a Deadline=x Nope=1\n" + good + "\nwords Service=S # Tan: why", []lineCode{
			{1, code.RuleBadPattern}, {1, code.RuleBadValue}, {1, code.RuleUnknownField}, {1, code.RuleMissingField}, {1, code.RuleNoWho},
			{3, code.RuleSyntax}, {3, code.RuleMissingField},
		}},
		{"comment without requester", "Path=/a Service=S # because", []lineCode{{1, code.RuleNoWho}}},
		{"comment without reason", "Path=/a Service=S # Tan: ", []lineCode{{1, code.RuleNoWho}}},
		{"duplicate rule", good + "\n\n" + good, []lineCode{{3, code.RuleDuplicate}}},
		{"duplicate with other parameter names", "Path=/{A} Service=S # Tan: w\nPath=/{B} Service=S # Tan: w", []lineCode{{2, code.RuleDuplicate}}},
		{"repeated field", "Path=/a Path=/b Service=S # Tan: why", []lineCode{{1, code.RuleRepeatedField}}},
		{"bad UTF-8", "Path=/\xff Service=S # Tan: why", []lineCode{{1, code.RuleBadEncoding}}},
		{"control character", "Path=/a\x00 Service=S # Tan: why", []lineCode{{1, code.RuleBadEncoding}}},
		{"byte order mark", "\ufeff" + good, []lineCode{{1, code.RuleBadEncoding}}},
		{"too large", strings.Repeat("#\n", rule.MaxFileBytes/2+1), []lineCode{{1, code.RuleTooLarge}}},
		{"line too long", good + strings.Repeat("x", rule.MaxLineBytes), []lineCode{{1, code.RuleLineTooLong}}},
		{"bad generation", "# Generation x\n", []lineCode{{1, code.RuleBadGeneration}}},
		{"negative generation", "# Generation -1\n", []lineCode{{1, code.RuleBadGeneration}}},
		{"two generations", "# Generation 1\n# Generation 2\n", []lineCode{{2, code.RuleBadGeneration}}},
		{"generation after a rule", good + "\n# Generation 1\n", []lineCode{{2, code.RuleBadGeneration}}},
		{"empty path", "Path= Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"open brace", "Path=/{a Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"nested braces", "Path=/{{a}} Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"regular expression", "Path=/{a:[0-9]+} Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"parameter without a name", "Path=/{} Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"duplicate parameter name", "Path=/{a}/{a} Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"wildcard before the last segment", "Path=/*/a Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"dot segment", "Path=/a/../b Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"empty segment", "Path=//a Service=S # Tan: why", []lineCode{{1, code.RuleBadPattern}}},
		{"host with port", "Host=a:80 Path=/a Service=S # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"host pattern", "Host={a}.b Path=/a Service=S # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"lower-case method", "Path=/a Method=get Service=S # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"method that cannot be forwarded", "Path=/a Method=CONNECT Service=S # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"bad service name", "Path=/a Service=a/b # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"zero deadline", "Path=/a Service=S Deadline=0s # Tan: why", []lineCode{{1, code.RuleBadValue}}},
		{"unknown repeat value", "Path=/a Service=S Repeat=Maybe # Tan: why", []lineCode{{1, code.RuleBadValue}}},
	} {
		convey.Convey("Given the file: "+test.name, t, func() {
			_, problems := rule.Parse(test.text)
			convey.So(lineCodes(problems), convey.ShouldResemble, test.want)
		})
	}
}

func TestFormatKeepsCommentsAndOrder(t *testing.T) {
	convey.Convey("Given a file with comments, an empty line and odd spacing", t, func() {
		text := "# Generation 7\n# bookings\n\nService=S   Path=/b # Tan: why # really\n# rosters\nPath=/a Service=S # Mei Lin: why\n"
		file, problems := rule.Parse(text)
		convey.So(problems, convey.ShouldBeEmpty)
		convey.Convey("Format gives the same text", func() {
			convey.So(file.Format(), convey.ShouldEqual, text)
		})
	})
}

// genLine draws a rule from a small set of identities, so that rules often collide.
func genLine(t *rapid.T) string {
	host := rapid.SampledFrom([]string{"", "Host=a.example "}).Draw(t, "host")
	path := rapid.SampledFrom([]string{"/", "/a", "/a/b", "/a/{X}", "/{X}/b", "/a/*", "/*", "/b", "/b/{X}/c", "/{X}"}).Draw(t, "path")
	method := rapid.SampledFrom([]string{"", "Method=GET ", "Method=HEAD ", "Method=POST "}).Draw(t, "method")
	service := rapid.SampledFrom([]string{"S", "T", "U"}).Draw(t, "service")
	return host + "Path=" + path + " " + method + "Service=" + service + " # Tan: why"
}

// genFile draws a file of rules with distinct identities, comments and empty lines.
func genFile(t *rapid.T, generation int64) rule.File {
	lines := rapid.SliceOfN(rapid.OneOf(
		rapid.Custom(genLine), rapid.Custom(genLine), rapid.Custom(genLine),
		rapid.SampledFrom([]string{"", "# one", "# two"}),
	), 0, 12).Draw(t, "lines")
	file, _ := rule.Parse(strings.Join(lines, "\n"))
	return file.WithGeneration(generation)
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		file := genFile(t, rapid.Int64Range(0, 1<<40).Draw(t, "generation"))
		again, problems := rule.Parse(file.Format())
		if len(problems) > 0 || !again.Equal(file) {
			t.Fatalf("got %q with %v, want %q", again.Format(), problems, file.Format())
		}
		for _, r := range file.Rules() {
			line, problems := rule.Parse(r.String())
			if len(problems) > 0 || line.Rules()[0] != r {
				t.Fatalf("got %v with %v, want %v", line.Rules(), problems, r)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		file, problems := rule.Parse(text)
		for _, p := range problems {
			if p.Line < 1 || p.Code == code.OK {
				t.Fatalf("got problem %+v, want a line number and a code", p)
			}
		}
		if len(text) > rule.MaxFileBytes/2 {
			return
		}
		again, problems := rule.Parse(file.Format())
		if len(problems) > 0 || again.Format() != file.Format() {
			t.Fatalf("got %q with %v, want %q", again.Format(), problems, file.Format())
		}
		rule.Compile(file)
	})
}

func FuzzObjects(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		if a, err := rule.ParseAccepted(text); err == nil {
			again, err := rule.ParseAccepted(a.Format())
			if err != nil || again.Format() != a.Format() {
				t.Fatalf("got error %v, want the same text again: %q", err, a.Format())
			}
		}
		if s, err := rule.ParseInForce(text); err == nil {
			again, err := rule.ParseInForce(s.Format())
			if err != nil || again.Format() != s.Format() {
				t.Fatalf("got error %v, want the same text again: %q", err, s.Format())
			}
		}
	})
}

func TestParseObjects(t *testing.T) {
	const body = "# Generation 4\n# Submission 9\n# Time 2026-12-03T20:41:00.5Z\n# VM Name=g-1 Generation=4\n" +
		"# Code 2015 Line 3 Submission 9 adds a rule\n# kept\nPath=/a Service=S # Tan: why\n"
	for _, test := range []struct {
		name, text string
		want       code.Code
	}{
		{"good", "# Format InForce 1\n" + body, code.OK},
		{"foreign object", "{}", code.StoreBadObject},
		{"empty", "", code.StoreBadObject},
		{"object of another kind", "# Format Accepted 1\n" + body, code.StoreBadObject},
		{"newer format version", "# Format InForce 2\n" + body, code.StoreNewerFormat},
		{"missing Generation line", "# Format InForce 1\nPath=/a Service=S # Tan: why\n", code.StoreBadObject},
		{"bad rule", "# Format InForce 1\n" + body + "Path=/b\n", code.StoreBadObject},
		{"too large", "# Format InForce 1\n" + strings.Repeat("#\n", rule.MaxFileBytes/2), code.StoreTooLarge},
	} {
		convey.Convey("Given the object: "+test.name, t, func() {
			s, err := rule.ParseInForce(test.text)
			convey.So(code.Of(err), convey.ShouldEqual, test.want)
			if err == nil {
				convey.So(s.Format(), convey.ShouldEqual, test.text)
			}
		})
	}
}
