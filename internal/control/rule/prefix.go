package rule

import (
	"cmp"
	"iter"
	"net/http"
	"net/url"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/index"
)

// prefixIndex finds rules of a directory by the literal prefix of the paths that they match. A
// rule with a Method is not in it.
type prefixIndex struct {
	// stated has the prefixes as they are written, and decoded the decoded forms of those with
	// encodings.
	stated, decoded index.Map[prefixKey, *Rule]
}

// prefixKey identifies a rule of a prefixIndex.
type prefixKey struct {
	// host is in lower case, and empty for any host.
	host string
	// prefix ends with a slash. Its percent-encodings have capital digits.
	prefix string
}

// prefixKeys returns the keys of a rule, with the prefix as it is written and decoded. It returns
// false for a rule that the index cannot hold.
func prefixKeys(r *Rule) (stated, decoded prefixKey, ok bool) {
	prefix, ok := r.prefix()
	if !ok || r.Method != "" {
		return stated, decoded, false
	}
	prefix = capitalDigits(prefix)
	return prefixKey{host: r.Host, prefix: prefix}, prefixKey{host: r.Host, prefix: decodeSegments(prefix)}, true
}

// find returns the rule of a key in one of the indexes, or nil.
func find(m index.Map[prefixKey, *Rule], key prefixKey) *Rule {
	r, _ := m.Get(key)
	return r
}

// matches returns the rules whose prefix begins the path of a request, those with its host before
// those with any, and then the longest prefix first. Prefixes and paths are compared as they are
// written, and if that finds none also in their decoded form, in which only slashes remain encoded. A
// path that has a . or .. segment after the prefix does not match, because a server might resolve it to
// a path without the prefix.
func (x prefixIndex) matches(r *http.Request) iter.Seq[Rule] {
	return func(yield func(Rule) bool) {
		if x.stated.Len() == 0 {
			return
		}
		stated := capitalDigits(statedPath(r))
		decoded := decodeSegments(stated)
		exact, name := strings.ToLower(r.Host), hostName(r.Host)
		if exact != name && !x.matchHost(exact, stated, decoded, yield) {
			return
		}
		if x.matchHost(name, stated, decoded, yield) && name != "" {
			x.matchHost("", stated, decoded, yield)
		}
	}
}

// matchHost calls yield with the rules of a host that match a path, until yield returns false, and
// returns whether it never did.
func (x prefixIndex) matchHost(host, stated, decoded string, yield func(Rule) bool) bool {
	whole := decoded
	for {
		i, j := strings.LastIndexByte(stated, '/'), strings.LastIndexByte(decoded, '/')
		if i < 0 || j < 0 {
			return true
		}
		inDecoded := prefixKey{host, decoded[:j+1]}
		found := cmp.Or(find(x.stated, prefixKey{host, stated[:i+1]}), find(x.stated, inDecoded), find(x.decoded, inDecoded))
		if found != nil && !hasDotSegment(whole[j:]) && !yield(*found) {
			return false
		}
		stated, decoded = stated[:i], decoded[:j]
	}
}

// statedPath returns the path of a request as its caller wrote it. The URL has lost encodings that
// stand beside characters which should be encoded.
func statedPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// encodedSlash is a slash that does not separate segments.
const encodedSlash = "%2F"

// encodingBytes is the size of a percent-encoded byte.
const encodingBytes = len(encodedSlash)

// decodeSegments decodes the segments of a path, but no slash in them, and nothing that is no
// encoding.
func decodeSegments(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for len(path) > 0 {
		if isEncoding(path) && !strings.HasPrefix(path, encodedSlash) {
			decoded, _ := url.PathUnescape(path[:encodingBytes])
			b.WriteString(decoded)
			path = path[encodingBytes:]
			continue
		}
		b.WriteByte(path[0])
		path = path[1:]
	}
	return b.String()
}

// capitalDigits returns a path whose percent-encodings have capital digits.
func capitalDigits(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	b := []byte(path)
	for i := range b {
		if isEncoding(path[i:]) {
			copy(b[i:], strings.ToUpper(path[i:i+encodingBytes]))
		}
	}
	return string(b)
}

// isEncoding reports whether a text begins with a percent-encoded byte.
func isEncoding(text string) bool {
	return len(text) >= encodingBytes && text[0] == '%' && isHex(text[1]) && isHex(text[2])
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
