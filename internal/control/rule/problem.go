package rule

import (
	"fmt"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Problem is one error in a rules file, or one conflict in a submission.
type Problem struct {
	// Line is the line number in the submitted file, from 1. If the submission
	// removed a rule, it is the line of the last remaining line before that rule.
	Line int
	// Code is the result code.
	Code code.Code
	// Text describes the error.
	Text string
}

// String returns the problem as text for operators.
func (p Problem) String() string {
	return fmt.Sprintf("Code %d Line %d %s", int(p.Code), p.Line, p.Text)
}

// Refusal is a Problem that caused a submission, or a part of it, to be refused.
type Refusal struct {
	// Submission is the store's version of the submission.
	Submission int64
	// Problem states what was refused and why.
	Problem Problem
}

func problemf(c code.Code, format string, args ...any) Problem {
	return Problem{Code: c, Text: fmt.Sprintf(format, args...)}
}

// atLine returns a copy of p with the given line number.
func (p Problem) atLine(line int) Problem {
	p.Line = line
	return p
}
