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
whether the request may be sent again. Other rules that match as well are
listed; they are passed over. If none matches, the methods under which the
path would match are listed.

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
	found, ok := rule.Compile(file).Match(r)
	if !ok {
		return c.noMatch(r, text)
	}
	c.match(r, found, text)
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

// ruleLine is a line of the rules file with the rule that it states.
type ruleLine struct {
	number int
	text   string
	rule   rule.Rule
}

func (l ruleLine) String() string {
	return fmt.Sprintf("line %d: %s", l.number, l.text)
}

// matching returns the lines whose rule on its own matches the request.
func matching(r *http.Request, text string) []ruleLine {
	var lines []ruleLine
	for i, line := range strings.Split(text, "\n") {
		file, _ := rule.Parse(line)
		if found, ok := rule.Compile(file).Match(r); ok {
			lines = append(lines, ruleLine{number: i + 1, text: strings.TrimSpace(line), rule: found})
		}
	}
	return lines
}

func (c *explain) match(r *http.Request, found rule.Rule, text string) {
	lines := matching(r, text)
	i := slices.IndexFunc(lines, func(l ruleLine) bool { return l.rule == found })
	if i >= 0 {
		c.print("%s %s matches %v\n", r.Method, r.URL, lines[i])
	}
	c.print("  Host      %s\n", because(found.Host, "Any host", "The request names this host"))
	c.print("  Path      %s, which matches %s\n", found.Path, r.URL.Path)
	c.print("  Method    %s\n", because(found.Method, "Any method", "The request has this method"))
	c.print("  Service   %s\n", found.Service)
	deadline := "the gateway's default, [Limits] Deadline"
	if found.Deadline > 0 {
		deadline = found.Deadline.String()
	}
	c.print("  Deadline  %s\n", deadline)
	c.print("  Repeat    %s\n", repeatText(found, r.Method))
	c.print("  Who       %s\n", found.Who)
	for j, line := range lines {
		if j != i {
			c.print("passed over: %v\n", line)
		}
	}
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

// noMatch says which other methods would match.
func (c *explain) noMatch(r *http.Request, text string) error {
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		other := *r
		other.Method = method
		for _, line := range matching(&other, text) {
			c.print("with method %s it would match %v\n", method, line)
		}
	}
	return Failf(NoMatch, "no rule matches %s %s", r.Method, r.URL)
}

func (c *explain) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.cfg.Out, format, args...)
}
