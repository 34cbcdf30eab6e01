package rule

import (
	"fmt"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Problem is one mistake in a rules file, or one conflict of a submission.
type Problem struct {
	// Line is the line number in the submitted file, from 1. For a rule that the
	// submission removed it is the line of the last rule or comment before it.
	Line int
	// Code is the result code.
	Code code.Code
	// Text says what is wrong.
	Text string
}

// String returns the problem as operators read it.
func (p Problem) String() string {
	return fmt.Sprintf("Code %d Line %d %s", int(p.Code), p.Line, p.Text)
}

// Refusal is a Problem for which a submission, or a part of it, was refused.
type Refusal struct {
	// Submission is the store's version of the submission.
	Submission int64
	// Problem says what was refused and why.
	Problem Problem
}

func problemf(c code.Code, format string, args ...any) Problem {
	return Problem{Code: c, Text: fmt.Sprintf(format, args...)}
}

// at returns a copy of p with the given line number.
func (p Problem) at(line int) Problem {
	p.Line = line
	return p
}
