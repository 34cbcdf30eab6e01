package rule

import (
	"net/http"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Rule is one rule of the rules file. A Rule is immutable and comparable.
type Rule struct {
	// Host is the host that the request must name, in lower case; empty for any.
	Host string
	// Path is the path, or a pattern with {Name} segments and a final *.
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
	// Who is the comment that names who asked for the rule, and why.
	Who string
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
}

// ID returns the identity of r.
func (r Rule) ID() ID {
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
	if r.Deadline > 0 {
		field("Deadline", r.Deadline.String())
	}
	if r.RepeatSet {
		field("Repeat", repeatName(r.Repeat))
	}
	b.WriteString("# " + r.Who)
	return b.String()
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
