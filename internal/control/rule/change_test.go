package rule_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := genFile(t, 3), genFile(t, 4)
		change := rule.Diff(from, to)
		next, result := change.Apply(from)
		if result != rule.Applied || !next.Equal(to) {
			t.Fatalf("got result %s and file %q, want %q", result, next.Format(), to.Format())
		}
		other := genFile(t, 3)
		if next, result := change.Apply(other); result == rule.Applied && !next.Equal(to) {
			t.Fatalf("applied the change to another file: got %q, want %q", next.Format(), to.Format())
		}
	})
}

func TestApplyResult(t *testing.T) {
	change := rule.Diff(fileOf(4, lineA, lineB), fileOf(5, lineA, lineC))
	wrongDigest := change
	wrongDigest.Digest++
	beyondEnd := change
	beyondEnd.In = []rule.Edit{{At: 9, Text: lineC}}
	invalidLine := change
	invalidLine.In = []rule.Edit{{At: 1, Text: "Path=/c"}}
	for _, test := range []struct {
		name   string
		change rule.Change
		file   rule.File
		want   rule.Result
	}{
		{"next generation", change, fileOf(4, lineA, lineB), rule.Applied},
		{"applied twice", change, fileOf(5, lineA, lineC), rule.Stale},
		{"older than the file", change, fileOf(7, lineA), rule.Stale},
		{"generation gap", change, fileOf(3, lineA, lineB), rule.Gap},
		{"deleted line differs", change, fileOf(4, lineA, lineD), rule.BadDigest},
		{"deleted line beyond the end", change, fileOf(4, lineA), rule.BadDigest},
		{"digest mismatch", wrongDigest, fileOf(4, lineA, lineB), rule.BadDigest},
		{"insertion beyond the end", beyondEnd, fileOf(4, lineA, lineB), rule.BadDigest},
		{"invalid inserted line", invalidLine, fileOf(4, lineA, lineB), rule.BadDigest},
	} {
		convey.Convey("Given the change: "+test.name, t, func() {
			next, result := test.change.Apply(test.file)
			convey.So(result, convey.ShouldEqual, test.want)
			if result != rule.Applied {
				convey.So(next.Equal(test.file), convey.ShouldBeTrue)
			}
		})
	}
}

// largeFile returns a file of n rules, 10 for each first path segment.
func largeFile(n int) rule.File {
	lines := make([]string, 0, n)
	for i := range n {
		path := fmt.Sprintf("/area-%d/item-%d", i/10, i)
		if i%3 == 0 {
			path += "/{Id}"
		}
		lines = append(lines, fmt.Sprintf("Path=%s Service=S%d # Tan: why", path, i%280))
	}
	return fileOf(1, lines...)
}

// withOneChange returns generation 2 of the file, with the middle rule changed.
func withOneChange(f rule.File) rule.File {
	lines := strings.Split(strings.TrimSpace(f.Format()), "\n")[1:]
	lines[len(lines)/2] = strings.Replace(lines[len(lines)/2], "why", "another reason", 1)
	return fileOf(2, lines...)
}

func TestChangeSizeIsIndependentOfFileSize(t *testing.T) {
	convey.Convey("Given one changed rule in files of 300 and 15,000 rules", t, func() {
		small, large := largeFile(300), largeFile(15000)
		a, err := cbor.Marshal(rule.Diff(small, withOneChange(small)))
		convey.So(err, convey.ShouldBeNil)
		b, err := cbor.Marshal(rule.Diff(large, withOneChange(large)))
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(b)-len(a), convey.ShouldBeLessThan, 32)
	})
}

// TestApplyArbitraryChange applies arbitrary changes, as a faulty peer might send
// them. An applied change must match its digest, and any other must leave the file
// as is.
func TestApplyArbitraryChange(t *testing.T) {
	edit := rapid.Custom(func(t *rapid.T) rule.Edit {
		at := rapid.OneOf(rapid.IntRange(-2, 5), rapid.Int()).Draw(t, "at")
		return rule.Edit{At: at, Text: rapid.OneOf(rapid.SampledFrom([]string{lineA, lineB, "# c", ""}), rapid.String()).Draw(t, "text")}
	})
	rapid.Check(t, func(t *rapid.T) {
		file := fileOf(1, lineA, lineB, "# c", "")
		change := rule.Change{From: 1, To: 2, Digest: rapid.Uint64().Draw(t, "digest")}
		change.Out = rapid.SliceOfN(edit, 0, 3).Draw(t, "out")
		change.In = rapid.SliceOfN(edit, 0, 3).Draw(t, "in")
		next, result := change.Apply(file)
		if result == rule.Applied && next.Digest() != change.Digest || result != rule.Applied && !next.Equal(file) {
			t.Fatalf("got result %s and file %q", result, next.Format())
		}
	})
}
