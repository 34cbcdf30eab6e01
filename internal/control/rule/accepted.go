package rule

import (
	"strings"
	"time"
)

// Accepted is the content of the stored object Rules/Accepted: the newest accepted
// generation and the last submission processed. An Accepted is immutable.
type Accepted struct {
	// File holds the accepted rules and their generation.
	File File
	// Submission is the store's version of the last submission processed.
	Submission int64
	// At is when that submission was processed.
	At time.Time
	// Refusals are the most recent refusals, oldest first.
	Refusals []Refusal
}

// ParseAccepted parses Rules/Accepted. Its errors have the code
// code.StoreTooLarge, code.StoreNewerFormat or code.StoreBadObject; on an error the
// caller should keep the last valid state.
func ParseAccepted(text string) (Accepted, error) {
	h, file, err := parseObject(kindAccepted, text)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{File: file, Submission: h.submission, At: h.at, Refusals: h.refusals}, nil
}

// Format returns the object's stored text.
func (a Accepted) Format() string {
	var b strings.Builder
	h := header{submission: a.Submission, at: a.At, refusals: a.Refusals}
	h.write(&b, kindAccepted, a.File.Generation)
	a.File.writeBody(&b)
	return b.String()
}
