package command

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const explainAbout = `Shows the rule that matches a request, and why: its line, each field, and
whether the request may be retried. Less specific rules that also match are
listed below it. If no rule matches, the rules that differ only in the method
are listed. A path with a . or .. segment matches no rule.

Examples:
  mustardsaddle explain GET /rosters --rules rules.txt
  mustardsaddle explain POST http://sheds.example/bookings --rules rules.txt`

type explain struct {
	Rules string `long:"rules" short:"r" value-name:"FILE" description:"rules file" required:"true"`
	Args  struct {
		Method string `positional-arg-name:"METHOD" description:"method, such as GET"`
		URL    string `positional-arg-name:"URL" description:"path, or http URL if the rules name hosts"`
	} `positional-args:"true" required:"true"`

	cfg Config
}

// Execute prints the rule that matches the request.
func (c *explain) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	r, err := newRequest(c.Args.Method, c.Args.URL)
	if err != nil {
		return err
	}
	text, problems, err := readRules(c.Rules)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		n := printRules(c.cfg.Err, c.Rules, problems)
		return StatusErrorf(Mistakes, "%d mistake(s) in %s", n, c.Rules)
	}
	file, _ := rule.Parse(text)
	table := rule.Compile(file)
	candidates := table.Explain(r)
	if !slices.ContainsFunc(candidates, func(candidate rule.Candidate) bool { return candidate.Verdict == rule.Chosen }) {
		return c.printNoMatch(r, candidates, newRuleLines(text))
	}
	c.printMatch(r, candidates, newRuleLines(text), table.HasCustomers())
	return nil
}

// newRequest returns the request that a caller would send with a method and an address,
// or an error with status Usage if either is invalid.
func newRequest(method, address string) (*http.Request, error) {
	if !httpguts.ValidHeaderFieldName(method) || strings.ToUpper(method) != method {
		return nil, StatusErrorf(Usage, "got method %q, want one such as GET or POST", method)
	}
	u, err := url.Parse(address)
	if err != nil {
		return nil, StatusErrorf(Usage, "got URL %q, want a path or an http URL: %v", address, err)
	}
	isPath := u.Scheme == "" && u.Host == ""
	isAbsolute := (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != ""
	if !isPath && !isAbsolute || !strings.HasPrefix(u.Path, "/") {
		return nil, StatusErrorf(Usage, "got URL %q, want a path such as /rosters or a URL such as http://sheds.example/rosters", address)
	}
	return &http.Request{Method: method, URL: u, Host: u.Host, Header: http.Header{}}, nil
}

// ruleLines maps each rule to its line number and line in the text of the rules file.
type ruleLines map[rule.ID]string

func newRuleLines(text string) ruleLines {
	byID := make(ruleLines)
	for i, line := range strings.Split(text, "\n") {
		file, _ := rule.Parse(line)
		for _, matched := range file.Rules() {
			byID[matched.ID()] = fmt.Sprintf("line %d: %s", i+1, strings.TrimSpace(line))
		}
	}
	return byID
}

// printMatch prints the chosen rule and the less specific rules that also match.
// HasCustomers is true if the rules declare customers.
func (c *explain) printMatch(r *http.Request, candidates []rule.Candidate, byID ruleLines, hasCustomers bool) {
	for _, candidate := range candidates {
		switch candidate.Verdict {
		case rule.Chosen:
			c.print("%s %s matches %s\n", r.Method, r.URL, byID[candidate.Rule.ID()])
			c.printFields(r, candidate.Rule)
			if hasCustomers {
				c.print("  Key       %s\n", describeKey(candidate.Rule))
			}
		case rule.LessSpecific:
			c.print("less specific: %s\n", byID[candidate.Rule.ID()])
		default:
			// The rule does not match.
		}
	}
}

func (c *explain) printFields(r *http.Request, matched rule.Rule) {
	c.print("  Host      %s\n", describeField(matched.Host, "any host", "the request names"))
	c.print("  Path      %s, which matches %s\n", matched.Path, r.URL.Path)
	c.print("  Method    %s\n", describeField(matched.Method, "any method", "covers the request's method"))
	c.print("  Service   %s\n", matched.Service)
	deadline := "the gateway's default, [Limits] Deadline"
	if matched.Deadline > 0 {
		deadline = matched.Deadline.String()
	}
	c.print("  Deadline  %s\n", deadline)
	c.print("  Repeat    %s\n", describeRepeat(matched, r.Method))
	c.printLimits(matched)
	c.print("  Who       %s\n", matched.Comment)
}

// printLimits prints the priority of a rule, and the optional limits that it sets.
func (c *explain) printLimits(matched rule.Rule) {
	if matched.Attempts > 0 {
		c.print("  Attempts  at most %d servers\n", matched.Attempts)
	}
	if matched.Target > 0 {
		c.print("  Target    %s\n", matched.Target)
	}
	c.print("  Priority  %d (0 is the highest)\n", matched.Priority)
}

func describeField(value, none, reason string) string {
	if value == "" {
		return none
	}
	return value + ", which " + reason
}

func describeKey(matched rule.Rule) string {
	if matched.Anonymous {
		return "not needed, by the rule; a customer's key counts if there is one"
	}
	return "needed, since the rules declare customers; its customer's priority precedes the rule's"
}

func describeRepeat(matched rule.Rule, method string) string {
	reason := "by default for " + method
	if matched.RepeatSet {
		reason = "by the rule"
	}
	switch matched.RepeatPolicy(method) {
	case mustardsaddle.RepeatYes:
		return "Yes, " + reason + ": may be retried if an attempt fails"
	case mustardsaddle.RepeatClaim:
		return "Claim, " + reason + ": runs at most once for each Idempotency-Key, even if the caller retries"
	default:
		return "No, " + reason + ": runs at most once for each call"
	}
}

// printNoMatch prints the rules that differ from the request only in the method, and
// returns the error with status NoMatch.
func (c *explain) printNoMatch(r *http.Request, candidates []rule.Candidate, byID ruleLines) error {
	for _, candidate := range candidates {
		if candidate.Verdict == rule.OtherMethod {
			c.print("with method %s it would match %s\n", candidate.Rule.Method, byID[candidate.Rule.ID()])
		}
	}
	return StatusErrorf(NoMatch, "no rule matches %s %s", r.Method, r.URL)
}

func (c *explain) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.cfg.Out, format, args...)
}
