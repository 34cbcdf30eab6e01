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
		refused                         []mistake
	}{
		{"different rules", []string{lineA, lineB}, []string{lineA2, lineB}, []string{lineA, lineB2}, []string{lineA2, lineB2}, nil},
		{"both add", []string{lineA}, []string{lineA, lineC}, []string{lineA, lineD}, []string{lineA, lineD, lineC}, nil},
		{"add at start", []string{lineA}, []string{lineA, lineC}, []string{lineD, lineA}, []string{lineD, lineA, lineC}, nil},
		{"remove and add", []string{lineA, lineB}, []string{lineB}, []string{lineA, lineB, lineC}, []string{lineB, lineC}, nil},
		{"same edit", []string{lineA}, []string{lineA2}, []string{lineA2}, []string{lineA2}, nil},
		{"both remove", []string{lineA, lineB}, []string{lineB}, []string{lineB}, []string{lineB}, nil},
		{"same rule", []string{lineA}, []string{lineA2}, []string{lineA3}, []string{lineA2}, []mistake{{1, code.RuleConflictChange}}},
		{"same rule and another", []string{lineA, lineB}, []string{lineA2, lineB}, []string{lineA3, lineB2}, []string{lineA2, lineB2}, []mistake{{1, code.RuleConflictChange}}},
		{"both add the same rule", nil, []string{lineA}, []string{lineB, lineA2}, []string{lineB, lineA}, []mistake{{2, code.RuleConflictChange}}},
		{"change of a removed rule", []string{lineA, lineB}, []string{lineB}, []string{lineA2, lineB}, []string{lineB}, []mistake{{1, code.RuleConflictRemoval}}},
		{"removal of a changed rule", []string{lineB, lineA}, []string{lineB, lineA2}, []string{lineB}, []string{lineB, lineA2}, []mistake{{1, code.RuleConflictRemoval}}},
		{"comments", []string{"# x", lineA, ""}, []string{"# x", lineA2, ""}, []string{"# y", lineA, "", "# z"}, []string{"# y", lineA2, "", "# z"}, nil},
		{"nothing but spacing", []string{lineA}, []string{lineA2}, []string{"Path=/a   Service=A # Tan: a"}, []string{lineA2}, nil},
	} {
		convey.Convey("Given edits of one base: "+test.name, t, func() {
			merged, problems := rule.Merge(fileOf(1, test.base...), fileOf(2, test.accepted...), fileOf(1, test.submitted...))
			convey.So(merged.Format(), convey.ShouldEqual, fileOf(2, test.want...).Format())
			convey.So(mistakes(problems), convey.ShouldResemble, test.refused)
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
		refused    []mistake
	}{
		{"handled before", rule.ParseSubmission(9, "# Generation 4\n"+lineC), 4, nil},
		{"newest base", rule.ParseSubmission(10, "# Generation 4\n"+lineC).WithBase(accepted.File), 5, nil},
		{"older base", rule.ParseSubmission(10, "# Generation 3\n"+lineA+"\n"+lineC).WithBase(base), 5, nil},
		{"no change", rule.ParseSubmission(10, accepted.File.Format()).WithBase(accepted.File), 4, nil},
		{"mistake", rule.ParseSubmission(10, "# Generation 4\nPath=/c\n"+lineD), 4, []mistake{{2, code.RuleMissingField}, {2, code.RuleNoWho}}},
		{"no generation", rule.ParseSubmission(10, lineC), 4, []mistake{{1, code.RuleBadGeneration}}},
		{"unknown base", rule.ParseSubmission(10, "# Generation 8\n"+lineC), 4, []mistake{{1, code.RuleUnknownBase}}},
		{"lost", rule.LostSubmission(10), 4, []mistake{{1, code.RuleSubmissionLost}}},
	} {
		convey.Convey("Given the submission: "+test.name, t, func() {
			d := rule.Accept(now, accepted, test.submission)
			convey.So(d.Next.File.Generation, convey.ShouldEqual, test.generation)
			convey.So(d.Changed, convey.ShouldEqual, test.generation > 4)
			convey.So(d.Handled, convey.ShouldEqual, test.submission.Version > 9)
			convey.So(d.Next.Submission, convey.ShouldEqual, test.submission.Version)
			convey.So(mistakes(d.Refused), convey.ShouldResemble, test.refused)
			convey.Convey("The object reads back the same", func() {
				again, err := rule.ParseAccepted(d.Next.Format())
				convey.So(err, convey.ShouldBeNil)
				convey.So(again.Format(), convey.ShouldEqual, d.Next.Format())
				convey.So(len(again.Refusals), convey.ShouldEqual, len(test.refused))
			})
		})
	}
}

func TestAcceptRefusesResultTooLarge(t *testing.T) {
	convey.Convey("Given two files that fit, and a merge that does not", t, func() {
		half := func(c string) rule.File {
			return fileOf(3, strings.Repeat("#"+strings.Repeat(c, rule.MaxLineBytes-2)+"\n", rule.MaxFileBytes/rule.MaxLineBytes/2))
		}
		accepted := rule.Accepted{File: half("x").WithGeneration(4), Submission: 9}
		d := rule.Accept(time.Time{}, accepted, rule.Submission{Version: 10, File: half("y")}.WithBase(fileOf(3)))
		convey.So(mistakes(d.Refused), convey.ShouldResemble, []mistake{{1, code.RuleTooLarge}})
		convey.So(d.Next.File.Equal(accepted.File), convey.ShouldBeTrue)
		convey.So(d.Next.Submission, convey.ShouldEqual, 10)
	})
}

func TestAcceptBoundsRefusals(t *testing.T) {
	convey.Convey("Given a submission of many mistakes", t, func() {
		s := rule.ParseSubmission(1, "# Generation 0\n"+strings.Repeat("Path=/x\n", 5000))
		d := rule.Accept(time.Time{}, rule.Accepted{}, s)
		convey.So(len(d.Refused), convey.ShouldEqual, 10000)
		convey.So(len(d.Next.Refusals), convey.ShouldEqual, 64)
		again, err := rule.ParseAccepted(d.Next.Format())
		convey.So(err, convey.ShouldBeNil)
		convey.So(again.Refusals, convey.ShouldResemble, d.Next.Refusals)
	})
}

func byID(f rule.File) map[rule.ID]rule.Rule {
	rules := make(map[rule.ID]rule.Rule)
	for _, r := range f.Rules() {
		rules[r.ID()] = r
	}
	return rules
}

// TestMergeProperty checks each rule of a merge against its three sides.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, accepted, submitted := genFile(t, 1), genFile(t, 2), genFile(t, 1)
		merged, problems := rule.Merge(base, accepted, submitted)
		b, a, s, m := byID(base), byID(accepted), byID(submitted), byID(merged)
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
				t.Fatalf("got %v for %v, want %v", m[id], id, want)
			}
		}
		if conflicts > 0 != (len(problems) > 0) {
			t.Fatalf("got problems %v, want %d or fewer", problems, conflicts)
		}
		if again, problems := rule.Parse(merged.Format()); len(problems) > 0 || !again.Equal(merged) {
			t.Fatalf("merged file does not read back: %v", problems)
		}
	})
}
