// Package code defines the numeric result codes of the load balancer. Every refusal
// that is reported to a caller, to an operator or in the log has one; docs/CODES.md
// lists all codes.
//
// # Usage
//
//	return code.Errorf(code.RuleNoWho, "line %d: rule has no comment that names who requested it", line)
//	...
//	if code.Of(err) == code.StoreConflict { ... }
package code

import (
	"fmt"

	"github.com/juju/errors"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Code -output=code_string.go

// Code is a result code. The thousands digit identifies the area: 1xxx settings,
// 2xxx rules, 3xxx store, 4xxx calls, 5xxx peer messages, 6xxx load reports, 7xxx
// process, 8xxx identity of requests.
type Code int

// Error is an error with a result code.
type Error struct {
	// Code is the result code.
	Code Code
	// Text describes the error in lower case, with the operation and its values.
	Text string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the text, the cause and the number of the code.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v (code %d)", e.Text, e.Cause, int(e.Code))
	}
	return fmt.Sprintf("%s (code %d)", e.Text, int(e.Code))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Errorf returns an error with the given code.
func Errorf(c Code, format string, args ...any) error {
	return &Error{Code: c, Text: fmt.Sprintf(format, args...)}
}

// Wrapf returns an error with the given code and cause.
func Wrapf(c Code, cause error, format string, args ...any) error {
	return &Error{Code: c, Text: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the code of the outermost Error in err's chain. It returns OK for nil,
// and Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
