// Package rule reads the operators' rules file, decides which submissions are
// accepted, and compiles the rules in force into a router.
//
// # Usage
//
//	file, problems := rule.Parse(text)
//	table := rule.Compile(file)
//	route, ok := table.Match(r)
package rule

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// Rule is one line of the rules file. A Rule is immutable.
type Rule struct {
	// Host is the host that the request must name; empty for any.
	Host string
	// Path is the path, or a pattern with {Name} parts; a trailing * matches any rest.
	Path string
	// Method is the method; empty for any.
	Method string
	// Service is the service that answers.
	Service string
	// Deadline bounds the whole call; 0 means the gateway's default.
	Deadline time.Duration
	// Repeat says whether the request may be sent more than once.
	Repeat mustardsaddle.Repeat
	// RepeatSet is true when the line states Repeat.
	RepeatSet bool
	// Who is the comment that names who asked for the rule.
	Who string
}

// File is a parsed rules file. A File is immutable.
type File struct {
	// Generation is the number on the first line.
	Generation int64
	// Rules are the rules in the file's order.
	Rules []Rule
}

// Problem is one mistake in a rules file.
type Problem struct {
	// Line is the line number, from 1.
	Line int
	// Code is the result code.
	Code code.Code
	// Text says what is wrong.
	Text string
}

// Parse reads a rules file and returns every mistake in it.
func Parse(text string) (File, []Problem) {
	var file File
	var problems []Problem
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, "# Generation "); ok {
			file.Generation, _ = strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
			continue
		}
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		r, problem := parseLine(line)
		if problem.Code != code.OK {
			problem.Line = i + 1
			problems = append(problems, problem)
			continue
		}
		file.Rules = append(file.Rules, r)
	}
	return file, problems
}

func parseLine(line string) (Rule, Problem) {
	fields, who, _ := strings.Cut(line, "#")
	r := Rule{Who: strings.TrimSpace(who)}
	if r.Who == "" {
		return r, Problem{Code: code.RuleNoWho, Text: "rule has no comment naming who asked for it"}
	}
	for _, field := range strings.Fields(fields) {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return r, Problem{Code: code.RuleSyntax, Text: "got " + strconv.Quote(field) + ", want Name=Value"}
		}
		if problem := setField(&r, name, value); problem.Code != code.OK {
			return r, problem
		}
	}
	if r.Path == "" || r.Service == "" {
		return r, Problem{Code: code.RuleMissingField, Text: "rule needs Path and Service"}
	}
	return r, Problem{}
}

func setField(r *Rule, name, value string) Problem {
	switch name {
	case "Host":
		r.Host = value
	case "Path":
		r.Path = value
	case "Method":
		r.Method = value
	case "Service":
		r.Service = value
	case "Deadline":
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return Problem{Code: code.RuleBadValue, Text: "got Deadline=" + value + ", want a positive duration such as 2s"}
		}
		r.Deadline = d
	case "Repeat":
		repeat, ok := parseRepeat(value)
		if !ok {
			return Problem{Code: code.RuleBadValue, Text: "got Repeat=" + value + ", want Yes, No or Claim"}
		}
		r.Repeat, r.RepeatSet = repeat, true
	default:
		return Problem{Code: code.RuleUnknownField, Text: "unknown field " + strconv.Quote(name)}
	}
	return Problem{}
}

func parseRepeat(value string) (mustardsaddle.Repeat, bool) {
	switch value {
	case "Yes":
		return mustardsaddle.RepeatYes, true
	case "No":
		return mustardsaddle.RepeatNo, true
	case "Claim":
		return mustardsaddle.RepeatClaim, true
	default:
		return mustardsaddle.RepeatNo, false
	}
}

// RepeatOf returns whether a request with the given method may be repeated.
func (r Rule) RepeatOf(method string) mustardsaddle.Repeat {
	if r.RepeatSet {
		return r.Repeat
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return mustardsaddle.RepeatYes
	default:
		return mustardsaddle.RepeatNo
	}
}

// Table is a compiled rules file. It is safe for concurrent use.
type Table struct {
	// File is the rules file that was compiled.
	File   File
	router *mux.Router
	byName map[string]Rule
}

// Compile builds the router of a rules file.
func Compile(file File) *Table {
	t := &Table{File: file, router: mux.NewRouter(), byName: make(map[string]Rule)}
	for i, r := range file.Rules {
		name := strconv.Itoa(i)
		t.byName[name] = r
		route := t.router.NewRoute().Name(name)
		if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
			route = route.PathPrefix(prefix)
		} else {
			route = route.Path(r.Path)
		}
		if r.Host != "" {
			route = route.Host(r.Host)
		}
		if r.Method != "" {
			route.Methods(r.Method)
		}
	}
	return t
}

// Match returns the first rule that matches the request.
func (t *Table) Match(r *http.Request) (Rule, bool) {
	var m mux.RouteMatch
	if !t.router.Match(r, &m) || m.Route == nil {
		return Rule{}, false
	}
	found, ok := t.byName[m.Route.GetName()]
	return found, ok
}
