package rule

import (
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// maxRefusals is the maximum number of refusals kept in Rules/Accepted.
const maxRefusals = 64

// maxRefusalBytes is the length at which the text of a refusal is truncated.
const maxRefusalBytes = 256

// Submission is one version of Rules/Submitted, together with the base file that
// was edited. A Submission is immutable.
type Submission struct {
	// Version is the store's version of the submission.
	Version int64
	// File is the submitted file.
	File File
	// Problems are the errors found in the file.
	Problems []Problem
	// Base is the accepted file of the generation that the submission states.
	Base File
	// HasBase is true when Base is known.
	HasBase bool
}

// ParseSubmission parses one version of Rules/Submitted.
func ParseSubmission(version int64, text string) Submission {
	file, problems := Parse(text)
	return Submission{Version: version, File: file, Problems: problems}
}

// MissingSubmission returns a placeholder for a version that the store no longer
// has.
func MissingSubmission(version int64) Submission {
	p := problemf(code.RuleSubmissionLost, "submission is no longer in the store").atLine(1)
	return Submission{Version: version, Problems: []Problem{p}}
}

// OversizedSubmission returns a placeholder for a version that is too large to
// read.
func OversizedSubmission(version int64) Submission {
	p := problemf(code.RuleTooLarge, "submission is too large to read, want at most %d bytes", MaxFileBytes).atLine(1)
	return Submission{Version: version, Problems: []Problem{p}}
}

// WithBase returns a copy of s with the given base file.
func (s Submission) WithBase(base File) Submission {
	s.Base, s.HasBase = base, true
	return s
}

// Decision is the outcome of processing a submission.
type Decision struct {
	// Processed is false for a submission that was already processed; then there is
	// nothing to write.
	Processed bool
	// Changed is true when the rules, and therefore the generation, change.
	Changed bool
	// Next is the new accepted state.
	Next Accepted
	// Refused are the errors and conflicts of this submission.
	Refused []Problem
}

// Accept processes the next submission. A file with an error is refused as a
// whole; in a file that conflicts with a later generation only the conflicting
// rules are refused. The generation is incremented when the rules change. The
// decision takes effect only when its Next is written to Rules/Accepted by a
// conditional write that fails if a is no longer the newest state.
func Accept(now time.Time, a Accepted, s Submission) Decision {
	if s.Version <= a.Submission {
		return Decision{Next: a}
	}
	d := Decision{Processed: true, Next: a}
	d.Next.Submission = s.Version
	d.Next.At = now
	file, refused := resolve(a, s)
	d.Refused = refused
	d.Next.Refusals = appendRefusals(a.Refusals, s.Version, refused)
	if sameLines(file, a.File) {
		return d
	}
	changed := d.Next
	changed.File = file.WithGeneration(a.File.Generation + 1)
	if n := len(changed.Format()); n > MaxFileBytes {
		p := problemf(code.RuleTooLarge, "merged rules have %d bytes, want at most %d", n, MaxFileBytes).atLine(1)
		d.Refused = []Problem{p}
		d.Next.Refusals = appendRefusals(a.Refusals, s.Version, d.Refused)
		return d
	}
	d.Changed = true
	d.Next = changed
	return d
}

// resolve returns the file that results from applying the submission to the
// accepted state.
func resolve(a Accepted, s Submission) (File, []Problem) {
	if len(s.Problems) > 0 {
		return a.File, s.Problems
	}
	if s.HasBase {
		return mergeSubmission(a, s)
	}
	if a.File.Generation == 0 {
		return s.File, nil
	}
	if !s.File.HasGeneration {
		p := problemf(code.RuleBadGeneration, "missing Generation line, want the generation of the edited file, such as %s%d", generationPrefix, a.File.Generation)
		return a.File, []Problem{p.atLine(1)}
	}
	p := problemf(code.RuleUnknownBase, "unknown generation %d, want a recent one up to %d", s.File.Generation, a.File.Generation)
	return a.File, []Problem{p.atLine(1)}
}

// mergeSubmission merges a submission. If two customers would hold the same key, or a
// customer that was removed would have further keys, it is refused as a whole.
func mergeSubmission(a Accepted, s Submission) (File, []Problem) {
	merged, conflicts := Merge(s.Base, a.File, s.File)
	submitted := indexOf(s.File)
	problems := merged.customerProblems(func(id ID) int {
		if l := submitted.line(key{id: id}); l != nil {
			return l.number
		}
		return 0
	})
	if len(problems) > 0 {
		return a.File, append(conflicts, problems...)
	}
	return merged, conflicts
}

func sameLines(a, b File) bool {
	return a.WithGeneration(0).Equal(b.WithGeneration(0))
}

// appendRefusals appends the problems of a submission, and drops the oldest
// refusals beyond maxRefusals. Problems that do not fit are replaced by their
// count.
func appendRefusals(refusals []Refusal, submission int64, problems []Problem) []Refusal {
	all := append([]Refusal(nil), refusals...)
	for _, p := range problems[:min(len(problems), maxRefusals-1)] {
		p.Text = truncate(p.Text)
		all = append(all, Refusal{Submission: submission, Problem: p})
	}
	if more := len(problems) - (maxRefusals - 1); more > 0 {
		p := problemf(code.RuleSyntax, "%d more problems", more).atLine(problems[maxRefusals-1].Line)
		all = append(all, Refusal{Submission: submission, Problem: p})
	}
	return all[max(0, len(all)-maxRefusals):]
}

func truncate(text string) string {
	if len(text) > maxRefusalBytes {
		text = text[:maxRefusalBytes] + "…"
	}
	return strings.TrimSpace(strings.ToValidUTF8(text, ""))
}
