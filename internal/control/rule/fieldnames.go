package rule

import (
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// maxPlainFields is the number of names that fieldNames holds without allocations.
const maxPlainFields = 16

// fieldNames is a set of the names of the fields in a line.
type fieldNames struct {
	plain [maxPlainFields]string
	// others holds the names beyond the first maxPlainFields.
	others map[string]bool
	n      int
}

// add adds a name. It returns false if the set has it.
func (s *fieldNames) add(name string) bool {
	if s.has(name) {
		return false
	}
	if s.n < maxPlainFields {
		s.plain[s.n] = name
	} else {
		if s.others == nil {
			s.others = make(map[string]bool)
		}
		s.others[name] = true
	}
	s.n++
	return true
}

// has reports whether the set has a name.
func (s *fieldNames) has(name string) bool {
	return slices.Contains(s.plain[:min(s.n, maxPlainFields)], name) || s.others[name]
}

// Fields of routing rules and of service declarations, besides Path and Service.
var (
	routeFields   = []string{"Prefix", "Host", "Method", "Deadline", "Repeat", "Attempts", "Target", "Priority", "Anonymous"} //nolint:gochecknoglobals // a table
	serviceFields = []string{"Probe", "Connections", "WarmUp", "WarmUpRate"}                                                  //nolint:gochecknoglobals // a table
)

// Fields that a kind of line does not allow.
var (
	notInDeclaration = slices.Concat([]string{idleField, evacuateField}, routeFields, customerFields)   //nolint:gochecknoglobals // a table
	notInRoute       = slices.Concat([]string{idleField, evacuateField}, serviceFields, customerFields) //nolint:gochecknoglobals // a table
)

// checkFields returns problems for the fields that a line lacks, and for those that
// its kind of line does not allow.
func checkFields(seen *fieldNames) []Problem {
	if seen.has("Customer") {
		return checkCustomerFields(seen)
	}
	declares := slices.ContainsFunc(serviceFields, seen.has)
	switch {
	case seen.has("WarmUp") != seen.has("WarmUpRate"):
		return []Problem{problemf(code.RuleMissingField, "rule has only one of WarmUp and WarmUpRate, want both or neither")}
	case (seen.has(idleField) || seen.has(evacuateField)) && seen.n == 1:
		return nil
	case declares && !seen.has("Path") && !seen.has("Prefix") && seen.has("Service"):
		return disallow(seen, notInDeclaration, "declares a service")
	}
	var problems []Problem
	if !seen.has("Path") && !seen.has("Prefix") {
		problems = append(problems, problemf(code.RuleMissingField, "rule has no Path"))
	}
	if !seen.has("Service") {
		problems = append(problems, problemf(code.RuleMissingField, "rule has no Service"))
	}
	if seen.has("Path") && seen.has("Prefix") {
		problems = append(problems, problemf(code.RuleSyntax, "rule has both Path and Prefix, want one"))
	}
	return append(problems, disallow(seen, notInRoute, "routes requests")...)
}

// disallow returns a problem for each of the named fields that a kind of line has and must
// not have.
func disallow(seen *fieldNames, names []string, kind string) []Problem {
	var problems []Problem
	for _, name := range names {
		if seen.has(name) {
			problems = append(problems, problemf(code.RuleSyntax, "field %s is not allowed in a line that %s", name, kind))
		}
	}
	return problems
}

func (f format) parseField(r *Rule, seen *fieldNames, field string) Problem {
	name, value, ok := strings.Cut(field, "=")
	if !ok {
		return problemf(code.RuleSyntax, "got %q, want Name=Value", field)
	}
	if !seen.add(name) {
		return problemf(code.RuleRepeatedField, "duplicate field %s", name)
	}
	return f.setField(r, name, value)
}
