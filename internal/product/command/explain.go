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

const explainAbout = `Shows the rule that matches a request, and why: the line, each field, and
whether the request may be sent again. Less specific rules that match as well
are listed below it. If none matches, rules that match but for their method are
listed. A path with a . or .. segment matches none.

Examples:
  mustardsaddle explain GET /rosters --rules rules.txt
  mustardsaddle explain POST http://sheds.example/bookings --rules rules.txt`

type explain struct {
	Rules string `long:"rules" short:"r" value-name:"FILE" description:"rules file" required:"true"`
	Args  struct {
		Method string `positional-arg-name:"METHOD" description:"method, such as GET"`
		URL    string `positional-arg-name:"URL" description:"path, or http URL if rules name hosts"`
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
		return Failf(Mistakes, "%d in %s", n, c.Rules)
	}
	file, _ := rule.Parse(text)
	steps := rule.Compile(file).Explain(r)
	if !slices.ContainsFunc(steps, func(s rule.Step) bool { return s.Verdict == rule.Chosen }) {
		return c.noMatch(r, steps, linesOf(text))
	}
	c.match(r, steps, linesOf(text))
	return nil
}

// newRequest returns the request that a caller would send.
func newRequest(method, address string) (*http.Request, error) {
	if !httpguts.ValidHeaderFieldName(method) || strings.ToUpper(method) != method {
		return nil, Failf(Usage, "got method %q, want one such as GET or POST", method)
	}
	u, err := url.Parse(address)
	if err != nil {
		return nil, Failf(Usage, "got URL %q, want a path or an http URL: %v", address, err)
	}
	path := u.Scheme == "" && u.Host == ""
	absolute := (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != ""
	if !path && !absolute || !strings.HasPrefix(u.Path, "/") {
		return nil, Failf(Usage, "got URL %q, want a path such as /rosters or a URL such as http://sheds.example/rosters", address)
	}
	return &http.Request{Method: method, URL: u, Host: u.Host, Header: http.Header{}}, nil
}

// lines finds the line of each rule in the text as the operator wrote it.
type lines map[rule.ID]string

func linesOf(text string) lines {
	byID := make(lines)
	for i, line := range strings.Split(text, "\n") {
		file, _ := rule.Parse(line)
		for _, found := range file.Rules() {
			byID[found.ID()] = fmt.Sprintf("line %d: %s", i+1, strings.TrimSpace(line))
		}
	}
	return byID
}

// match prints the chosen rule, and the rules that match as well.
func (c *explain) match(r *http.Request, steps []rule.Step, at lines) {
	for _, step := range steps {
		switch step.Verdict {
		case rule.Chosen:
			c.print("%s %s matches %s\n", r.Method, r.URL, at[step.Rule.ID()])
			c.fields(r, step.Rule)
		case rule.LessSpecific:
			c.print("less specific: %s\n", at[step.Rule.ID()])
		default:
			// The rule doesn't match.
		}
	}
}

func (c *explain) fields(r *http.Request, found rule.Rule) {
	c.print("  Host      %s\n", because(found.Host, "Any host", "The request names this host"))
	c.print("  Path      %s, which matches %s\n", found.Path, r.URL.Path)
	c.print("  Method    %s\n", because(found.Method, "Any method", "It covers the request's method"))
	c.print("  Service   %s\n", found.Service)
	deadline := "the gateway's default, [Limits] Deadline"
	if found.Deadline > 0 {
		deadline = found.Deadline.String()
	}
	c.print("  Deadline  %s\n", deadline)
	c.print("  Repeat    %s\n", repeatText(found, r.Method))
	c.limits(found)
	c.print("  Who       %s\n", found.Who)
}

// limits prints the fields that a rule may leave out.
func (c *explain) limits(found rule.Rule) {
	if found.Attempts > 0 {
		c.print("  Attempts  %d servers at most\n", found.Attempts)
	}
	if found.Target > 0 {
		c.print("  Target    %s\n", found.Target)
	}
	c.print("  Priority  %d, of which 0 is the highest\n", found.Priority)
}

func because(value, none, some string) string {
	if value == "" {
		return none
	}
	return value + ". " + some
}

func repeatText(found rule.Rule, method string) string {
	reason := "by default for " + method
	if found.RepeatSet {
		reason = "by the rule"
	}
	switch found.RepeatOf(method) {
	case mustardsaddle.RepeatYes:
		return "Yes, " + reason + ": may be sent again if an attempt fails"
	case mustardsaddle.RepeatClaim:
		return "Claim, " + reason + ": runs at most once for each Idempotency-Key, also over the caller's retries"
	default:
		return "No, " + reason + ": runs at most once for each call"
	}
}

// noMatch prints the rules that match but for their method.
func (c *explain) noMatch(r *http.Request, steps []rule.Step, at lines) error {
	for _, step := range steps {
		if step.Verdict == rule.OtherMethod {
			c.print("with method %s it would match %s\n", step.Rule.Method, at[step.Rule.ID()])
		}
	}
	return Failf(NoMatch, "no rule matches %s %s", r.Method, r.URL)
}

func (c *explain) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.cfg.Out, format, args...)
}
