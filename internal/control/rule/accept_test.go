package rule_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const (
	lineA  = "Path=/a Service=A # Tan: a"
	lineA2 = "Path=/a Service=A2 # Tan: a"
	lineA3 = "Path=/a Service=A3 # Mei Lin: a"
	lineB  = "Path=/b Service=B # Tan: b"
	lineB2 = "Path=/b Service=B2 # Tan: b"
	lineC  = "Path=/c Service=C # Tan: c"
	lineD  = "Path=/d Service=D # Mei Lin: d"
)

func fileOf(generation int64, lines ...string) rule.File {
	file, _ := rule.Parse(strings.Join(lines, "\n"))
	return file.WithGeneration(generation)
}

func TestMerge(t *testing.T) {
	for _, test := range []struct {
		name                            string
		base, accepted, submitted, want []string
		refused                         []lineCode
	}{
		{"changes to different rules", []string{lineA, lineB}, []string{lineA2, lineB}, []string{lineA, lineB2}, []string{lineA2, lineB2}, nil},
		{"additions on both sides", []string{lineA}, []string{lineA, lineC}, []string{lineA, lineD}, []string{lineA, lineD, lineC}, nil},
		{"addition at the start", []string{lineA}, []string{lineA, lineC}, []string{lineD, lineA}, []string{lineD, lineA, lineC}, nil},
		{"removal and addition", []string{lineA, lineB}, []string{lineB}, []string{lineA, lineB, lineC}, []string{lineB, lineC}, nil},
		{"same change on both sides", []string{lineA}, []string{lineA2}, []string{lineA2}, []string{lineA2}, nil},
		{"same removal on both sides", []string{lineA, lineB}, []string{lineB}, []string{lineB}, []string{lineB}, nil},
		{"conflicting changes to one rule", []string{lineA}, []string{lineA2}, []string{lineA3}, []string{lineA2}, []lineCode{{1, code.RuleConflictChange}}},
		{"conflicting changes to one of two rules", []string{lineA, lineB}, []string{lineA2, lineB}, []string{lineA3, lineB2}, []string{lineA2, lineB2}, []lineCode{{1, code.RuleConflictChange}}},
		{"conflicting additions of one rule", nil, []string{lineA}, []string{lineB, lineA2}, []string{lineB, lineA}, []lineCode{{2, code.RuleConflictChange}}},
		{"change to a removed rule", []string{lineA, lineB}, []string{lineB}, []string{lineA2, lineB}, []string{lineB}, []lineCode{{1, code.RuleConflictRemoval}}},
		{"removal of a changed rule", []string{lineB, lineA}, []string{lineB, lineA2}, []string{lineB}, []string{lineB, lineA2}, []lineCode{{1, code.RuleConflictRemoval}}},
		{"comments and empty lines", []string{"# x", lineA, ""}, []string{"# x", lineA2, ""}, []string{"# y", lineA, "", "# z"}, []string{"# y", lineA2, "", "# z"}, nil},
		{"change of white space only", []string{lineA}, []string{lineA2}, []string{"Path=/a   Service=A # Tan: a"}, []string{lineA2}, nil},
	} {
		convey.Convey("Given a submission and an accepted file with a common base: "+test.name, t, func() {
			merged, problems := rule.Merge(fileOf(1, test.base...), fileOf(2, test.accepted...), fileOf(1, test.submitted...))
			convey.So(merged.Format(), convey.ShouldEqual, fileOf(2, test.want...).Format())
			convey.So(lineCodes(problems), convey.ShouldResemble, test.refused)
		})
	}
}

func TestAccept(t *testing.T) {
	now := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	accepted := rule.Accepted{File: fileOf(4, lineA, lineB), Submission: 9}
	base := fileOf(3, lineA)
	for _, test := range []struct {
		name       string
		submission rule.Submission
		generation int64
		refused    []lineCode
	}{
		{"already processed", rule.ParseSubmission(9, "# Generation 4\n"+lineC), 4, nil},
		{"based on the newest generation", rule.ParseSubmission(10, "# Generation 4\n"+lineC).WithBase(accepted.File), 5, nil},
		{"based on an older generation", rule.ParseSubmission(10, "# Generation 3\n"+lineA+"\n"+lineC).WithBase(base), 5, nil},
		{"no change", rule.ParseSubmission(10, accepted.File.Format()).WithBase(accepted.File), 4, nil},
		{"invalid file", rule.ParseSubmission(10, "# Generation 4\nPath=/c\n"+lineD), 4, []lineCode{{2, code.RuleMissingField}, {2, code.RuleNoWho}}},
		{"missing Generation line", rule.ParseSubmission(10, lineC), 4, []lineCode{{1, code.RuleBadGeneration}}},
		{"unknown base generation", rule.ParseSubmission(10, "# Generation 8\n"+lineC), 4, []lineCode{{1, code.RuleUnknownBase}}},
		{"no longer in the store", rule.MissingSubmission(10), 4, []lineCode{{1, code.RuleSubmissionLost}}},
	} {
		convey.Convey("Given the submission: "+test.name, t, func() {
			d := rule.Accept(now, accepted, test.submission)
			convey.So(d.Next.File.Generation, convey.ShouldEqual, test.generation)
			convey.So(d.Changed, convey.ShouldEqual, test.generation > 4)
			convey.So(d.Processed, convey.ShouldEqual, test.submission.Version > 9)
			convey.So(d.Next.Submission, convey.ShouldEqual, test.submission.Version)
			convey.So(lineCodes(d.Refused), convey.ShouldResemble, test.refused)
			convey.Convey("The formatted object round-trips", func() {
				again, err := rule.ParseAccepted(d.Next.Format())
				convey.So(err, convey.ShouldBeNil)
				convey.So(again.Format(), convey.ShouldEqual, d.Next.Format())
				convey.So(len(again.Refusals), convey.ShouldEqual, len(test.refused))
			})
		})
	}
}

func TestAcceptRefusesResultTooLarge(t *testing.T) {
	convey.Convey("Given two files within the size limit whose merge exceeds it", t, func() {
		half := func(c string) rule.File {
			return fileOf(3, strings.Repeat("#"+strings.Repeat(c, rule.MaxLineBytes-2)+"\n", rule.MaxFileBytes/rule.MaxLineBytes/2))
		}
		accepted := rule.Accepted{File: half("x").WithGeneration(4), Submission: 9}
		d := rule.Accept(time.Time{}, accepted, rule.Submission{Version: 10, File: half("y")}.WithBase(fileOf(3)))
		convey.So(lineCodes(d.Refused), convey.ShouldResemble, []lineCode{{1, code.RuleTooLarge}})
		convey.So(d.Next.File.Equal(accepted.File), convey.ShouldBeTrue)
		convey.So(d.Next.Submission, convey.ShouldEqual, 10)
	})
}

func TestAcceptLimitsRefusals(t *testing.T) {
	convey.Convey("Given a submission with many errors", t, func() {
		s := rule.ParseSubmission(1, "# Generation 0\n"+strings.Repeat("Path=/x\n", 5000))
		d := rule.Accept(time.Time{}, rule.Accepted{}, s)
		convey.So(len(d.Refused), convey.ShouldEqual, 10000)
		convey.So(len(d.Next.Refusals), convey.ShouldEqual, 64)
		again, err := rule.ParseAccepted(d.Next.Format())
		convey.So(err, convey.ShouldBeNil)
		convey.So(again.Refusals, convey.ShouldResemble, d.Next.Refusals)
	})
}

func rulesByID(f rule.File) map[rule.ID]rule.Rule {
	rules := make(map[rule.ID]rule.Rule)
	for _, r := range f.Rules() {
		rules[r.ID()] = r
	}
	return rules
}

// TestMergeProperty checks each merged rule against the base, the accepted and the
// submitted file.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, accepted, submitted := genFile(t, 1), genFile(t, 2), genFile(t, 1)
		merged, problems := rule.Merge(base, accepted, submitted)
		b, a, s, m := rulesByID(base), rulesByID(accepted), rulesByID(submitted), rulesByID(merged)
		conflicts := 0
		for _, r := range slices.Concat(base.Rules(), accepted.Rules(), submitted.Rules()) {
			id := r.ID()
			want := a[id]
			switch {
			case a[id] == b[id]:
				want = s[id]
			case s[id] != b[id] && s[id] != a[id]:
				conflicts++
			}
			if m[id] != want {
				t.Fatalf("got merged rule %v for %v, want %v", m[id], id, want)
			}
		}
		if conflicts > 0 != (len(problems) > 0) {
			t.Fatalf("got problems %v with conflict count %d, want both or neither", problems, conflicts)
		}
		if again, problems := rule.Parse(merged.Format()); len(problems) > 0 || !again.Equal(merged) {
			t.Fatalf("merged file does not round-trip: %v", problems)
		}
	})
}
