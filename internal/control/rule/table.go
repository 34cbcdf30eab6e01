package rule

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/index"
)

// Table is a compiled rules file. It is immutable and safe for concurrent use.
//
// The rules are divided into buckets by host and literal path prefix, each with its
// own router, because a router tries its routes sequentially.
type Table struct {
	// File is the rules file that was compiled.
	File File

	buckets index.Map[bucketKey, *bucket]
	// prefixes finds the rules of a directory that match all paths with a prefix.
	prefixes prefixIndex
	// splits maps the values of Service to their parsed form.
	splits index.Map[string, splitUse]
	// services maps service names to the rules that declare them.
	services index.Map[string, *Rule]
	// contested is true if several rules have the same key in prefixes or services, so that the
	// order of the file decides which of them is found.
	contested bool
	idle      time.Duration
	// customers finds customers by key; nil if the file declares none.
	customers *customerIndex
	// evacuations are the availability zones that the file evacuates.
	evacuations []mustardsaddle.Evacuation
}

// TrafficSplit returns the weighted services of a rule of this table.
func (t *Table) TrafficSplit(r Rule) TrafficSplit {
	use, _ := t.splits.Get(r.Service)
	return use.split
}

// Service returns the declaration of a service, or a Rule with only its name if the
// file does not declare it.
func (t *Table) Service(name string) Rule {
	if declared, ok := t.services.Get(name); ok {
		return *declared
	}
	return Rule{Service: name}
}

// IdleTimeout returns the idle timeout of callers' connections, or 0 if the file does
// not state it.
func (t *Table) IdleTimeout() time.Duration {
	return t.idle
}

// Evacuations returns the availability zones that the file evacuates, in its order. Callers
// must not modify the slice.
func (t *Table) Evacuations() []mustardsaddle.Evacuation {
	return t.evacuations
}

// maxDepth is the maximum number of path segments in a bucket's prefix.
const maxDepth = 4

// bucketKey identifies a bucket by the requests that its rules may match.
type bucketKey struct {
	host string
	// prefix is the path prefix, of up to maxDepth literal segments.
	prefix string
}

// bucket holds the rules of one bucketKey, most specific first, and their router.
type bucket struct {
	rules  []*Rule
	routes []*mux.Route
	router *mux.Router
}

func sameRule(a, b *Rule) bool {
	return a == b || *a == *b
}

func keyOf(r *Rule) bucketKey {
	for _, prefix := range prefixes(r.Path) {
		if !strings.ContainsAny(prefix, "{*") {
			return bucketKey{host: r.Host, prefix: prefix}
		}
	}
	return bucketKey{host: r.Host}
}

// prefixes returns the prefixes of a path of up to maxDepth whole segments, longest
// first; the remaining elements are empty.
func prefixes(path string) [maxDepth + 1]string {
	var list [maxDepth + 1]string
	depth, end := 0, 0
	for depth < maxDepth && end < len(path) {
		if next := strings.IndexByte(path[end+1:], '/'); next >= 0 {
			end += 1 + next
		} else {
			end = len(path)
		}
		list[depth] = path[:end]
		depth++
	}
	slices.Reverse(list[:depth])
	return list
}

func newBucket(rules []*Rule) *bucket {
	b := &bucket{rules: rules, router: mux.NewRouter()}
	for _, r := range rules {
		// mux clears an earlier method mismatch only if the route that matches has a
		// handler.
		route := b.router.NewRoute().Handler(http.NotFoundHandler())
		setPath(route, r.Path)
		if r.Method != "" {
			route.Methods(r.methods()...)
		}
		b.routes = append(b.routes, route)
	}
	return b
}

// setPath sets the path matcher of a route. Only a path with {Name} uses a template
// of the router, which holds compiled regular expressions of several kilobytes; other
// paths use a string comparison.
func setPath(route *mux.Route, path string) {
	prefix, isPrefix := strings.CutSuffix(path, "*")
	switch {
	case isPrefix && strings.Contains(path, "{"):
		route.PathPrefix(prefix)
	case isPrefix:
		route.MatcherFunc(func(r *http.Request, _ *mux.RouteMatch) bool {
			return strings.HasPrefix(r.URL.Path, prefix)
		})
	case strings.Contains(path, "{"):
		route.Path(path)
	default:
		route.MatcherFunc(func(r *http.Request, _ *mux.RouteMatch) bool {
			return r.URL.Path == path
		})
	}
}

// methods returns the request methods that a rule with a Method matches.
func (r Rule) methods() []string {
	if r.Method == http.MethodGet {
		return []string{http.MethodGet, http.MethodHead}
	}
	return []string{r.Method}
}

// Match returns the most specific rule that matches the request. A path with a . or
// .. segment matches no rule, because a server might resolve it to a path that the
// rule does not cover.
func (t *Table) Match(r *http.Request) (Rule, bool) {
	found, ok := t.matchBuckets(r)
	for byPrefix := range t.prefixes.matches(r) {
		if !ok || byPrefix.precedes(found) {
			return byPrefix, true
		}
		break
	}
	return found, ok
}

// matchBuckets returns the most specific rule in the buckets that matches the request.
func (t *Table) matchBuckets(r *http.Request) (Rule, bool) {
	if hasDotSegment(r.URL.Path) {
		return Rule{}, false
	}
	for _, b := range t.bucketsOf(r) {
		if b == nil {
			break
		}
		var m mux.RouteMatch
		if b.router.Match(r, &m) && m.Route != nil {
			return *b.rules[slices.Index(b.routes, m.Route)], true
		}
	}
	return Rule{}, false
}

// bucketsOf returns the buckets that may match a request, most specific first; the
// remaining elements are nil.
func (t *Table) bucketsOf(r *http.Request) [2 * (maxDepth + 1)]*bucket {
	var found [2 * (maxDepth + 1)]*bucket
	n := 0
	list := prefixes(r.URL.Path)
	for _, host := range []string{hostName(r.Host), ""} {
		for _, prefix := range list {
			b, _ := t.buckets.Get(bucketKey{host: host, prefix: prefix})
			if b != nil && !slices.Contains(found[:n], b) {
				found[n] = b
				n++
			}
			if prefix == "" {
				break
			}
		}
	}
	return found
}

// hostName returns the host of a request in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
