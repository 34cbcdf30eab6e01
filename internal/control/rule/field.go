package rule

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// maxConnections is the upper limit of Connections.
	maxConnections = mustardsaddle.MaxConnections
	// maxZoneBytes is the maximum length of the name of an availability zone.
	maxZoneBytes = 255
	// MaxWarmUpRate is the upper limit of WarmUpRate in requests per second.
	MaxWarmUpRate = 1e6
)

// idleField is the field that sets the idle timeout of callers' connections.
const idleField = "Idle"

// evacuateField is the field that evacuates an availability zone.
const evacuateField = "Evacuate"

// setField parses one field into r. The Problem has code.OK if the value is valid.
func (f format) setField(r *Rule, name, value string) Problem {
	switch name {
	case "Host":
		return f.setHost(r, value)
	case "Path":
		r.Path = value
		return checkPath(value)
	case "Prefix":
		return f.setPrefix(r, value)
	case "Method":
		r.Method = value
		return checkMethod(value)
	case "Service":
		r.Service = value
		_, problem := f.parseSplit(value)
		return problem
	case "Deadline":
		return f.setDuration(&r.Deadline, name, value)
	case "Repeat":
		return setRepeat(r, value)
	case "Attempts":
		return setInt(&r.Attempts, name, value, 1, f.maxAttempts)
	case "Target":
		return f.setDuration(&r.Target, name, value)
	case "Priority":
		return setInt(&r.Priority, name, value, 0, f.maxPriority)
	case idleField:
		return f.setDuration(&r.Idle, name, value)
	case "Anonymous":
		return setAnonymous(r, value)
	case evacuateField:
		r.Evacuate = value
		return checkZone(value)
	default:
		return f.setServiceField(r, name, value)
	}
}

// setServiceField parses one field of a line that declares a service into r.
func (f format) setServiceField(r *Rule, name, value string) Problem {
	switch name {
	case "Probe":
		r.Probe = value
		return f.checkProbe(value)
	case "Connections":
		return setInt(&r.Connections, name, value, 1, maxConnections)
	case "WarmUp":
		return f.setWarmUp(r, value)
	case "WarmUpRate":
		return f.setWarmUpRate(r, value)
	default:
		return f.setCustomerField(r, name, value)
	}
}

// setCustomerField parses one field of a line about a customer into r.
func (f format) setCustomerField(r *Rule, name, value string) Problem {
	switch name {
	case "Customer":
		return f.setCustomer(r, value)
	case "Part":
		return setInt(&r.Part, name, value, firstPart, maxPart)
	case "Keys":
		return setKeys(r, value)
	case "Rate":
		return setRate(&r.Rate, name, value)
	case "Burst":
		return setRate(&r.Burst, name, value)
	default:
		return problemf(code.RuleUnknownField, "unknown field %q", name)
	}
}

// setHost parses the host of a rule. That of a directory is any text, such as one with a port.
func (f format) setHost(r *Rule, value string) Problem {
	if f.directory {
		host, ok := decodeName(value)
		r.Host = strings.ToLower(host)
		if !ok || host == "" {
			return problemf(code.RuleBadValue, "got Host=%s, want an encoded name", value)
		}
		return Problem{}
	}
	r.Host = strings.ToLower(value)
	for _, label := range strings.Split(r.Host, ".") {
		if !isHostLabel(label) {
			return problemf(code.RuleBadValue, "got Host=%s, want a host name without port, such as rosters.example.org", value)
		}
	}
	return Problem{}
}

func isHostLabel(label string) bool {
	for _, c := range label {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return label != ""
}

func checkMethod(value string) Problem {
	for _, c := range value {
		if (c < 'A' || c > 'Z') && c != '-' {
			return problemf(code.RuleBadValue, "got Method=%s, want capital letters, such as POST", value)
		}
	}
	if value == "" || value == http.MethodConnect {
		return problemf(code.RuleBadValue, "got Method=%s, want a method, and not CONNECT, which cannot be forwarded", value)
	}
	return Problem{}
}

func checkZone(value string) Problem {
	if value == "" || len(value) > maxZoneBytes {
		return problemf(code.RuleBadValue, "got Evacuate of %d bytes, want the name of an availability zone of 1 to %d bytes", len(value), maxZoneBytes)
	}
	return Problem{}
}

// parseService returns the name of a service.
func (f format) parseService(value string) (string, Problem) {
	if value == "" {
		return "", problemf(code.RuleBadValue, "got empty Service, want a name")
	}
	if f.directory {
		name, ok := decodeName(value)
		if !ok {
			return "", problemf(code.RuleBadValue, "got Service=%s, want an encoded name", value)
		}
		return name, Problem{}
	}
	for _, c := range value {
		if !isNameRune(c) && c != '-' {
			return "", problemf(code.RuleBadValue, "got Service=%s, want letters, digits, - and _", value)
		}
	}
	return value, Problem{}
}

func isNameRune(c rune) bool {
	return unicode.IsLetter(c) || unicode.IsDigit(c) || c == '_'
}

func (f format) setDuration(field *time.Duration, name, value string) Problem {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > f.maxDuration {
		return problemf(code.RuleBadValue, "got %s=%s, want a duration up to %gh, such as 2s", name, value, f.maxDuration.Hours())
	}
	*field = d
	return Problem{}
}

func (f format) setWarmUp(r *Rule, value string) Problem {
	if problem := f.setDuration(&r.WarmUp, "WarmUp", value); problem.Code != code.OK || r.WarmUp > f.maxWarmUp {
		return problemf(code.RuleBadValue, "got WarmUp=%s, want a duration up to %s, such as 3s", value, f.maxWarmUp)
	}
	return Problem{}
}

func (f format) setWarmUpRate(r *Rule, value string) Problem {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || !(rate >= f.minWarmUpRate && rate <= MaxWarmUpRate) {
		return problemf(code.RuleBadValue, "got WarmUpRate=%s, want %g to %g requests per second", value, f.minWarmUpRate, MaxWarmUpRate)
	}
	r.WarmUpRate = rate
	return Problem{}
}

func setInt(field *int, name, value string, lo, hi int) Problem {
	n, err := strconv.Atoi(value)
	if err != nil || n < lo || n > hi {
		return problemf(code.RuleBadValue, "got %s=%s, want a whole number from %d to %d", name, value, lo, hi)
	}
	*field = n
	return Problem{}
}

// checkProbe accepts an absolute path without query, percent-encoding or backslash; in the rules
// of a directory any that a request can have.
func (f format) checkProbe(value string) Problem {
	if f.directory {
		if _, err := url.ParseRequestURI(value); err != nil || !strings.HasPrefix(value, "/") {
			return problemf(code.RuleBadValue, "got Probe=%s, want the path of a request, such as /load", value)
		}
		return Problem{}
	}
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, "?%\\") {
		return problemf(code.RuleBadValue, "got Probe=%s, want a plain path, such as /load", value)
	}
	return Problem{}
}

func setRepeat(r *Rule, value string) Problem {
	for _, repeat := range []mustardsaddle.Repeat{mustardsaddle.RepeatYes, mustardsaddle.RepeatNo, mustardsaddle.RepeatClaim} {
		if repeatName(repeat) == value {
			r.Repeat, r.RepeatSet = repeat, true
			return Problem{}
		}
	}
	return problemf(code.RuleBadValue, "got Repeat=%s, want Yes, No or Claim", value)
}

func repeatName(repeat mustardsaddle.Repeat) string {
	return strings.TrimPrefix(repeat.String(), "Repeat")
}

// checkPath accepts the paths that Compile supports: a clean absolute path in
// UTF-8 without percent-encoding, whose segments may be {Name} and whose last
// segment may be *.
func checkPath(path string) Problem {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return problemf(code.RuleBadPattern, "got Path=%s, want a path that starts with /", path)
	}
	if strings.ContainsAny(path, `%?\`) {
		return problemf(code.RuleBadPattern, "got Path=%s, want a path without %%, ? and \\", path)
	}
	var params map[string]bool
	for more := true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		if expected := checkSegment(segment, !more); expected != "" {
			return problemf(code.RuleBadPattern, "got Path=%s, %s", path, expected)
		}
		if !isParam(segment) {
			continue
		}
		if params[segment] {
			return problemf(code.RuleBadPattern, "got Path=%s, want each {Name} once", path)
		}
		if params == nil {
			params = make(map[string]bool)
		}
		params[segment] = true
	}
	return Problem{}
}

// setPrefix parses the literal prefix of a rule of a directory.
func (f format) setPrefix(r *Rule, value string) Problem {
	if !f.directory {
		return problemf(code.RuleUnknownField, "unknown field %q", "Prefix")
	}
	prefix, ok := decode(value, "/")
	if !ok || !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		return problemf(code.RuleBadPattern, "got Prefix=%s, want an encoded path that begins and ends with /", value)
	}
	r.Prefix = prefix
	return Problem{}
}

// checkSegment returns what is wrong with a segment of a path, or "" if it is valid.
func checkSegment(segment string, last bool) string {
	switch {
	case segment == "" && !last:
		return "want no empty segment"
	case segment == "." || segment == "..":
		return "want no . or .. segment"
	case segment == "*" && last:
		return ""
	case strings.Contains(segment, "*"):
		return "want * only as the whole last segment"
	case !strings.ContainsAny(segment, "{}"):
		return ""
	}
	name, ok := strings.CutPrefix(segment, "{")
	name, ok2 := strings.CutSuffix(name, "}")
	if !ok || !ok2 || name == "" || strings.ContainsFunc(name, func(c rune) bool { return !isNameRune(c) }) {
		return "want {Name} as a whole segment, with letters, digits and _ only; got " + strconv.Quote(segment)
	}
	return ""
}
