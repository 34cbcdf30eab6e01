package rule

import (
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// maxRefusals is how many refusals Rules/Accepted keeps.
const maxRefusals = 64

// maxRefusalBytes bounds the text of a refusal.
const maxRefusalBytes = 256

// Submission is one version of Rules/Submitted, with the file that it edited. A
// Submission is immutable.
type Submission struct {
	// Version is the store's version of the submission.
	Version int64
	// File is the submitted file.
	File File
	// Problems are the mistakes in the file.
	Problems []Problem
	// Base is the accepted file of the generation that the submission names.
	Base File
	// HasBase is true when Base is known.
	HasBase bool
}

// ParseSubmission reads one version of Rules/Submitted.
func ParseSubmission(version int64, text string) Submission {
	file, problems := Parse(text)
	return Submission{Version: version, File: file, Problems: problems}
}

// LostSubmission stands for a version that the store no longer has.
func LostSubmission(version int64) Submission {
	p := problemf(code.RuleSubmissionLost, "the store no longer has this submission").at(1)
	return Submission{Version: version, Problems: []Problem{p}}
}

// LargeSubmission stands for a version that is too large to read.
func LargeSubmission(version int64) Submission {
	p := problemf(code.RuleTooLarge, "want at most %d bytes", MaxFileBytes).at(1)
	return Submission{Version: version, Problems: []Problem{p}}
}

// WithBase returns a copy of s with the file that it edited.
func (s Submission) WithBase(base File) Submission {
	s.Base, s.HasBase = base, true
	return s
}

// Decision is what becomes of a submission.
type Decision struct {
	// Handled is false for a submission that had been handled before; there is
	// nothing to write then.
	Handled bool
	// Changed is true when the rules change, and with them the generation.
	Changed bool
	// Next is the new accepted state.
	Next Accepted
	// Refused are the mistakes and conflicts of this submission.
	Refused []Problem
}

// Accept decides about the next submission. A file with a mistake is refused
// whole; of a file in conflict with a later generation only the conflicting
// rules are refused. The generation grows by one when the rules change. The
// decision takes effect only when its Next is written to Rules/Accepted on the
// condition that a is still the newest.
func Accept(now time.Time, a Accepted, s Submission) Decision {
	if s.Version <= a.Submission {
		return Decision{Next: a}
	}
	d := Decision{Handled: true, Next: a}
	d.Next.Submission = s.Version
	d.Next.At = now
	file, refused := decide(a, s)
	d.Refused = refused
	d.Next.Refusals = appendRefusals(a.Refusals, s.Version, refused)
	if sameLines(file, a.File) {
		return d
	}
	changed := d.Next
	changed.File = file.WithGeneration(a.File.Generation + 1)
	if n := len(changed.Format()); n > MaxFileBytes {
		p := problemf(code.RuleTooLarge, "accepted rules would have %d bytes, want at most %d", n, MaxFileBytes).at(1)
		d.Refused = []Problem{p}
		d.Next.Refusals = appendRefusals(a.Refusals, s.Version, d.Refused)
		return d
	}
	d.Changed = true
	d.Next = changed
	return d
}

// decide returns the lines that the submission leads to.
func decide(a Accepted, s Submission) (File, []Problem) {
	if len(s.Problems) > 0 {
		return a.File, s.Problems
	}
	if s.HasBase {
		return Merge(s.Base, a.File, s.File)
	}
	if a.File.Generation == 0 {
		return s.File, nil
	}
	if !s.File.HasGeneration {
		p := problemf(code.RuleBadGeneration, "no Generation line, want the one of the file that was edited, such as %s%d", generationPrefix, a.File.Generation)
		return a.File, []Problem{p.at(1)}
	}
	p := problemf(code.RuleUnknownBase, "generation %d is not known, want one up to %d", s.File.Generation, a.File.Generation)
	return a.File, []Problem{p.at(1)}
}

func sameLines(a, b File) bool {
	return a.WithGeneration(0).Equal(b.WithGeneration(0))
}

// appendRefusals adds the problems of a submission, and drops the oldest
// refusals above the limit.
func appendRefusals(refusals []Refusal, submission int64, problems []Problem) []Refusal {
	all := append([]Refusal(nil), refusals...)
	for _, p := range problems[:min(len(problems), maxRefusals-1)] {
		p.Text = shorten(p.Text)
		all = append(all, Refusal{Submission: submission, Problem: p})
	}
	if more := len(problems) - (maxRefusals - 1); more > 0 {
		p := problemf(code.RuleSyntax, "and more mistakes: %d", more).at(problems[maxRefusals-1].Line)
		all = append(all, Refusal{Submission: submission, Problem: p})
	}
	return all[max(0, len(all)-maxRefusals):]
}

func shorten(text string) string {
	if len(text) > maxRefusalBytes {
		text = text[:maxRefusalBytes] + "…"
	}
	return strings.TrimSpace(strings.ToValidUTF8(text, ""))
}
