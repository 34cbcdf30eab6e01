package rule

import (
	"net/http"
	"slices"

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

// Explain returns the rules in the buckets of the request's host and path prefixes, and those
// with a literal prefix that match, in the order in which Match considers them.
func (t *Table) Explain(r *http.Request) []Candidate {
	candidates := t.bucketCandidates(r)
	inBuckets := len(candidates)
	for found := range t.prefixes.matches(r) {
		candidates = append(candidates, Candidate{Rule: found, Verdict: Chosen})
	}
	if len(candidates) > inBuckets {
		slices.SortStableFunc(candidates, func(a, b Candidate) int { return a.Rule.compare(b.Rule) })
	}
	numbers := t.lineNumbers()
	verdict := Chosen
	for i := range candidates {
		candidates[i].Line = numbers[candidates[i].Rule.ID()]
		if candidates[i].Verdict == Chosen {
			candidates[i].Verdict = verdict
			verdict = LessSpecific
		}
	}
	return candidates
}

// bucketCandidates returns the rules in the buckets of a request. Each that matches is chosen.
func (t *Table) bucketCandidates(r *http.Request) []Candidate {
	if hasDotSegment(r.URL.Path) {
		return nil
	}
	var candidates []Candidate
	for _, b := range t.bucketsOf(r) {
		if b == nil {
			break
		}
		for i, considered := range b.rules {
			candidates = append(candidates, Candidate{Rule: *considered, Verdict: matchRoute(b.routes[i], r)})
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
