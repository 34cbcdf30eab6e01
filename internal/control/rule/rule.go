package rule

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Rule is one line of the rules file that is neither empty nor a comment. A line
// with a Path routes requests; one with a Service but no Path configures the servers
// of that service; one with only Idle sets the idle timeout of callers' connections; one
// with only Evacuate evacuates an availability zone; one with a Customer declares a customer.
// A Rule is immutable and comparable.
type Rule struct {
	// Host is the request host to match, in lower case; empty matches any host.
	Host string
	// Path is a literal path, or a pattern with {Name} segments and a final *; empty for a rule
	// with a Prefix.
	Path string
	// Prefix begins the paths to match, as a request states them. Only rules of a directory have
	// it, for paths that cannot stand in Path.
	Prefix string
	// Method is the request method to match; empty matches any method.
	Method string
	// Service is the service that requests are routed to, or several weighted
	// services in the form A:90,B:10, with names as EncodeName encodes them.
	Service string
	// Deadline is the time limit of the whole call; 0 means the gateway's default.
	Deadline time.Duration
	// Repeat tells whether the request may be sent more than once.
	Repeat mustardsaddle.Repeat
	// RepeatSet is true when the line states Repeat.
	RepeatSet bool
	// Attempts is the maximum number of servers that one request is sent to; 0
	// means the gateway's default.
	Attempts int
	// Target is the target latency, within which a response has its full value; 0 if
	// not stated.
	Target time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Probe is the load probe path on the servers of a declared service.
	Probe string
	// Connections is the maximum number of connections that one server of a
	// declared service accepts from all gateways combined; 0 if not stated.
	Connections int
	// WarmUp is how long a server of a declared service usually warms up after its start; 0
	// if not stated.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that a server of a declared service
	// takes from all gateways combined while it warms up; 0 if there is no limit.
	WarmUpRate float64
	// Idle is the idle timeout of callers' connections.
	Idle time.Duration
	// Anonymous is true if the requests need no key of a customer.
	Anonymous bool
	// Customer is the name of the customer that the line declares.
	Customer string
	// Part is the number of a line that holds further keys of a customer; 0 in the line
	// that declares it.
	Part int
	// Keys holds the digests of the customer's keys, separated by commas.
	Keys string
	// PrioritySet is true when the line of a customer states Priority.
	PrioritySet bool
	// Rate and Burst are the quota of the customer; 0 if not stated.
	Rate, Burst float64
	// Evacuate is an availability zone to whose servers nothing is sent.
	Evacuate string
	// Comment is the comment that names who requested the rule, and why.
	Comment string
}

// IsRoute reports whether the rule routes requests, as opposed to declaring a
// service, a customer, the idle timeout or an evacuated zone.
func (r Rule) IsRoute() bool {
	return r.Path != "" || r.Prefix != ""
}

// prefix returns the literal prefix of the paths that the rule matches, if it matches all paths
// with one.
func (r Rule) prefix() (string, bool) {
	if r.Prefix != "" {
		return r.Prefix, true
	}
	prefix, ok := strings.CutSuffix(r.Path, "/*")
	return prefix + "/", ok && !strings.Contains(prefix, "{")
}

// ID identifies a rule across generations: two routing rules with the same ID
// match the same requests.
type ID struct {
	// Host is the rule's host.
	Host string
	// Path is the rule's path, with the names of its parameters removed.
	Path string
	// Prefix is the rule's prefix.
	Prefix string
	// Method is the rule's method.
	Method string
	// Service is the service that the rule declares; empty for a routing rule.
	Service string
	// Customer and Part are those of a line about a customer; empty for any other.
	Customer string
	Part     int
	// Evacuate is the zone that the rule evacuates; empty for other rules.
	Evacuate string
}

// ID returns the identity of r.
func (r Rule) ID() ID {
	if r.IsCustomer() {
		return ID{Customer: r.Customer, Part: r.Part}
	}
	if !r.IsRoute() {
		return ID{Service: r.Service, Evacuate: r.Evacuate}
	}
	return ID{Host: r.Host, Path: stripParamNames(r.Path), Prefix: r.Prefix, Method: r.Method}
}

// stripParamNames replaces each {Name} segment with {}.
func stripParamNames(path string) string {
	if !strings.Contains(path, "{") {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if isParam(segment) {
			segments[i] = "{}"
		}
	}
	return strings.Join(segments, "/")
}

func isParam(segment string) bool {
	return strings.HasPrefix(segment, "{")
}

// RepeatPolicy returns the retry policy of a request with the given method. Without
// an explicit Repeat only GET, HEAD and OPTIONS may be repeated.
func (r Rule) RepeatPolicy(method string) mustardsaddle.Repeat {
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
	field("Customer", EncodeName(r.Customer))
	field("Part", formatInt(r.Part))
	field("Keys", r.Keys)
	field("Host", EncodeName(r.Host))
	field("Path", r.Path)
	field("Prefix", encode(r.Prefix, "/"))
	field("Method", r.Method)
	field("Service", r.Service)
	field("Deadline", formatDuration(r.Deadline))
	if r.RepeatSet {
		field("Repeat", repeatName(r.Repeat))
	}
	field("Attempts", formatInt(r.Attempts))
	field("Target", formatDuration(r.Target))
	if r.PrioritySet {
		field("Priority", strconv.Itoa(r.Priority))
	} else {
		field("Priority", formatInt(r.Priority))
	}
	if r.Anonymous {
		field("Anonymous", anonymousYes)
	}
	field("Rate", formatRate(r.Rate))
	field("Burst", formatRate(r.Burst))
	field("Probe", r.Probe)
	field("Connections", formatInt(r.Connections))
	field("WarmUp", formatDuration(r.WarmUp))
	field("WarmUpRate", formatRate(r.WarmUpRate))
	field("Idle", formatDuration(r.Idle))
	field("Evacuate", r.Evacuate)
	b.WriteString("# " + r.Comment)
	return b.String()
}

// formatInt returns n as text, or "" for 0, so that the field is omitted.
func formatInt(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// formatRate returns perSecond as text, or "" for 0, so that the field is omitted.
func formatRate(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// formatDuration returns d as text, or "" for 0, so that the field is omitted.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// compare orders rules by precedence: negative if r wins when both match.
func (r Rule) compare(other Rule) int {
	if r.Host != other.Host {
		return compareOptional(r.Host, other.Host)
	}
	if c := comparePaths(r.pattern(), other.pattern()); c != 0 {
		return c
	}
	return compareOptional(r.Method, other.Method)
}

// precedes reports whether r wins when both rules match.
func (r Rule) precedes(other Rule) bool {
	return r.compare(other) < 0
}

// pattern returns the Path, or a text with the precedence of the Prefix.
func (r Rule) pattern() string {
	if r.Prefix != "" {
		return r.Prefix + "*"
	}
	return r.Path
}

// compareOptional sorts in descending order, which puts a stated value before an
// empty one, and HEAD before GET.
func compareOptional(a, b string) int {
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

// segmentRank orders the kinds of segments by precedence: literal, {Name}, final *.
func segmentRank(segment string) int {
	switch {
	case segment == "*":
		return 2
	case isParam(segment):
		return 1
	default:
		return 0
	}
}
