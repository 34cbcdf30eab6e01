package rule

import (
	"net/http"

	"github.com/gorilla/mux"
)

// Verdict tells whether a rule matches a request, and if not, why.
type Verdict int

const (
	// Chosen means that the rule is the most specific match.
	Chosen Verdict = iota
	// LessSpecific means that the rule matches, but a more specific one is chosen.
	LessSpecific
	// OtherMethod means that the path matches but the method does not.
	OtherMethod
	// OtherPath means that the path does not match.
	OtherPath
)

// Candidate is one rule that Match considers for a request.
type Candidate struct {
	// Line is the line number of the rule in the formatted file, from 1; the
	// Generation line is line 1.
	Line int
	// Rule is the rule considered.
	Rule Rule
	// Verdict tells whether the rule matches the request.
	Verdict Verdict
}

// Explain returns the rules in the buckets of the request's host and path prefixes,
// in the order in which Match considers them.
func (t *Table) Explain(r *http.Request) []Candidate {
	if hasDotSegment(r.URL.Path) {
		return nil
	}
	numbers := t.lineNumbers()
	var candidates []Candidate
	verdict := Chosen
	for _, b := range t.bucketsOf(r) {
		if b == nil {
			break
		}
		for i, considered := range b.rules {
			candidate := Candidate{Line: numbers[considered.ID()], Rule: *considered, Verdict: matchRoute(b.routes[i], r)}
			if candidate.Verdict == Chosen {
				candidate.Verdict = verdict
				verdict = LessSpecific
			}
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// matchRoute returns Chosen if the route matches, and the reason if it does not.
func matchRoute(route *mux.Route, r *http.Request) Verdict {
	var m mux.RouteMatch
	switch {
	case route.Match(r, &m):
		return Chosen
	case m.MatchErr != nil:
		return OtherMethod
	default:
		return OtherPath
	}
}

// lineNumbers returns the line number of each rule in the text that Format returns.
func (t *Table) lineNumbers() map[ID]int {
	const firstLine = 2
	numbers := make(map[ID]int)
	for i, l := range t.File.lines {
		if l.rule != nil {
			numbers[l.rule.ID()] = firstLine + i
		}
	}
	return numbers
}
