package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the load balancer's own. Those that a caller or a server sends are
// removed, so that nobody can forge an outcome.
const (
	// OutcomeHeader tells the caller what is known about execution.
	OutcomeHeader = "Mustardsaddle-Outcome"
	// CodeHeader tells the caller the number of the result code.
	CodeHeader = "Mustardsaddle-Code"
	// AttemptHeader tells the server the attempt's id. A server may echo it.
	AttemptHeader = "Mustardsaddle-Attempt"
	// DeadlineHeader tells the server how many milliseconds the caller waits.
	DeadlineHeader = "Mustardsaddle-Deadline"
	// ownPrefix begins the name of each of these.
	ownPrefix = "Mustardsaddle-"
)

// hopByHop reports whether a header belongs to one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return strings.HasPrefix(name, ownPrefix)
	}
}

// copyEndToEnd adds to dst the headers of src that are not of one connection, nor
// named by Connection, nor our own. The value slices are shared.
func copyEndToEnd(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || (listed != nil && listsToken(listed, name)) {
			continue
		}
		dst[name] = values
	}
}

// listsToken reports whether a header's comma-separated values name the token.
func listsToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// forwardHeader returns the header of the request to a server, without the
// attempt's own fields.
func (g *Gateway) forwardHeader(r *http.Request) http.Header {
	h := make(http.Header, len(r.Header)+spareHeaders)
	copyEndToEnd(h, r.Header)
	if listsToken(r.Header["Te"], "trailers") {
		h["Te"] = []string{"trailers"}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = appended(h["X-Forwarded-For"], host)
	}
	if h["X-Forwarded-Host"] == nil {
		h["X-Forwarded-Host"] = []string{r.Host}
	}
	if h["X-Forwarded-Proto"] == nil {
		h["X-Forwarded-Proto"] = []string{"http"}
	}
	via := "1.1 " + g.cfg.Name
	if r.ProtoMajor > 1 {
		via = "2.0 " + g.cfg.Name
	}
	h["Via"] = appended(h["Via"], via)
	return h
}

// spareHeaders is how many headers a request gains on its way.
const spareHeaders = 8

// appended returns the list header with one more element.
func appended(values []string, value string) []string {
	if len(values) == 0 {
		return []string{value}
	}
	return []string{strings.Join(values, ", ") + ", " + value}
}

// trailerNames returns the declared trailers that may pass, without values.
func trailerNames(declared http.Header) http.Header {
	if len(declared) == 0 {
		return nil
	}
	names := make(http.Header, len(declared))
	for name := range declared {
		if !hopByHop(name) && name != "Content-Length" {
			names[name] = nil
		}
	}
	return names
}
