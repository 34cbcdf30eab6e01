package header

import (
	"net/http"
	"strings"
)

// OpaquePath returns the value of url.URL.Opaque with which a request is forwarded with the path
// that its caller has written, or "" if that is the path that net/url writes. net/url encodes
// characters that callers should have encoded, and decodes a slash beside them.
func OpaquePath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	// An opaque text that begins with two slashes would be written with the scheme before it.
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") || path == r.URL.EscapedPath() {
		return ""
	}
	return path
}
