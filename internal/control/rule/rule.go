package rule

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Rule is one line of the rules file that is no comment. A line with a Path routes
// requests; one with a Service alone declares how the servers of that service are
// used; one with Idle alone bounds callers' connections. A Rule is immutable and
// comparable.
type Rule struct {
	// Host is the host that the request must name, in lower case; empty for any.
	Host string
	// Path is the path, or a pattern with {Name} segments and a final *.
	Path string
	// Method is the method; empty for any.
	Method string
	// Service is the service that answers, or several with their weights in the
	// form A:90,B:10.
	Service string
	// Deadline bounds the whole call; 0 means the gateway's default.
	Deadline time.Duration
	// Repeat says whether the request may be sent more than once.
	Repeat mustardsaddle.Repeat
	// RepeatSet is true when the line states Repeat.
	RepeatSet bool
	// Attempts bounds the servers to which one request is sent; 0 means the
	// gateway's default.
	Attempts int
	// Target is the time within which an answer is worth most; 0 if not stated.
	Target time.Duration
	// Priority is the rank of the request, of which 0 is the highest.
	Priority int
	// Probe is the path where the servers of a declared service tell their load.
	Probe string
	// Connections is how many connections a server of a declared service accepts
	// from all gateways together; 0 if not stated.
	Connections int
	// Idle is how long a caller's connection is kept without a request.
	Idle time.Duration
	// Who is the comment that names who asked for the rule, and why.
	Who string
}

// Routes reports whether the rule routes requests.
func (r Rule) Routes() bool {
	return r.Path != ""
}

// ID identifies a rule over all generations: two rules with the same ID match
// the same requests.
type ID struct {
	// Host is the rule's host.
	Host string
	// Path is the rule's path, with the names of its patterns left out.
	Path string
	// Method is the rule's method.
	Method string
	// Service is the service that the rule declares; empty for a rule that routes.
	Service string
}

// ID returns the identity of r.
func (r Rule) ID() ID {
	if !r.Routes() {
		return ID{Service: r.Service}
	}
	return ID{Host: r.Host, Path: withoutNames(r.Path), Method: r.Method}
}

// withoutNames replaces each {Name} by {}.
func withoutNames(path string) string {
	if !strings.Contains(path, "{") {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if isPattern(segment) {
			segments[i] = "{}"
		}
	}
	return strings.Join(segments, "/")
}

func isPattern(segment string) bool {
	return strings.HasPrefix(segment, "{")
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

// String returns the rule as a line of the rules file.
func (r Rule) String() string {
	var b strings.Builder
	field := func(name, value string) {
		if value != "" {
			b.WriteString(name + "=" + value + " ")
		}
	}
	field("Host", r.Host)
	field("Path", r.Path)
	field("Method", r.Method)
	field("Service", r.Service)
	field("Deadline", period(r.Deadline))
	if r.RepeatSet {
		field("Repeat", repeatName(r.Repeat))
	}
	field("Attempts", number(r.Attempts))
	field("Target", period(r.Target))
	field("Priority", number(r.Priority))
	field("Probe", r.Probe)
	field("Connections", number(r.Connections))
	field("Idle", period(r.Idle))
	b.WriteString("# " + r.Who)
	return b.String()
}

// number returns the text of a field that is left out when it is 0.
func number(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// period returns the text of a time that is left out when it is 0.
func period(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// compare orders rules by which one wins when both match: negative if r does.
func (r Rule) compare(other Rule) int {
	if r.Host != other.Host {
		return compareNamed(r.Host, other.Host)
	}
	if c := comparePaths(r.Path, other.Path); c != 0 {
		return c
	}
	return compareNamed(r.Method, other.Method)
}

// compareNamed puts a stated value before an empty one, and HEAD before GET.
func compareNamed(a, b string) int {
	return strings.Compare(b, a)
}

func comparePaths(a, b string) int {
	for a != "" && b != "" {
		var sa, sb string
		sa, a, _ = strings.Cut(a, "/")
		sb, b, _ = strings.Cut(b, "/")
		if ra, rb := segmentRank(sa), segmentRank(sb); ra != rb {
			return ra - rb
		} else if ra == 0 && sa != sb {
			return strings.Compare(sa, sb)
		}
	}
	return len(a) - len(b)
}

// segmentRank orders the kinds of segments: literal, {Name}, final *.
func segmentRank(segment string) int {
	switch {
	case segment == "*":
		return 2
	case isPattern(segment):
		return 1
	default:
		return 0
	}
}
