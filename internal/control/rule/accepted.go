package rule

import (
	"strings"
	"time"
)

// Accepted is the content of Rules/Accepted: the newest accepted generation and
// what has been handled to reach it. An Accepted is immutable.
type Accepted struct {
	// File holds the accepted rules and their generation.
	File File
	// Submission is the store's version of the last submission handled.
	Submission int64
	// At is when that submission was handled.
	At time.Time
	// Refusals are the latest refusals, the newest last.
	Refusals []Refusal
}

// ParseAccepted reads Rules/Accepted. The error has code.StoreTooLarge,
// code.StoreNewerFormat or code.StoreBadObject; the caller then keeps the last
// good state.
func ParseAccepted(text string) (Accepted, error) {
	h, file, err := parseObject(kindAccepted, text)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{File: file, Submission: h.submission, At: h.at, Refusals: h.refusals}, nil
}

// Format returns the text of the object.
func (a Accepted) Format() string {
	var b strings.Builder
	h := header{submission: a.Submission, at: a.At, refusals: a.Refusals}
	h.write(&b, kindAccepted, a.File.Generation)
	a.File.writeBody(&b)
	return b.String()
}
