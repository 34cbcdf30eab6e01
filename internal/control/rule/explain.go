package rule

import (
	"net/http"

	"github.com/gorilla/mux"
)

// Verdict says how a rule relates to a request.
type Verdict int

const (
	// Chosen means that the rule matches and is the most specific one.
	Chosen Verdict = iota
	// LessSpecific means that the rule matches too, but another one is chosen.
	LessSpecific
	// OtherMethod means that the path matches and the method does not.
	OtherMethod
	// OtherPath means that the path does not match.
	OtherPath
)

// Step is one rule that was considered for a request.
type Step struct {
	// Line is the line of the rule in the file, with its Generation line, from 1.
	Line int
	// Rule is the rule.
	Rule Rule
	// Verdict says how the rule relates to the request.
	Verdict Verdict
}

// Explain returns the rules that share a host and the beginning of the path with
// the request, in the order in which Match considers them.
func (t *Table) Explain(r *http.Request) []Step {
	if hasDotSegment(r.URL.Path) {
		return nil
	}
	numbers := t.lineNumbers()
	var steps []Step
	verdict := Chosen
	for _, b := range t.bucketsOf(r) {
		if b == nil {
			break
		}
		for i, candidate := range b.rules {
			step := Step{Line: numbers[candidate.ID()], Rule: *candidate, Verdict: check(b.routes[i], r)}
			if step.Verdict == Chosen {
				step.Verdict = verdict
				verdict = LessSpecific
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// check returns Chosen for a route that matches.
func check(route *mux.Route, r *http.Request) Verdict {
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

// lineNumbers returns the line of each rule in the text that Format gives.
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
