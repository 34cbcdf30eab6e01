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

// outgoing is the header of the request to a server. Its own fields share one
// array of values.
type outgoing struct {
	http.Header
	values []string
}

// ownFields is how many fields a request gains on its way.
const ownFields = 8

// set replaces a field by one value.
func (o *outgoing) set(name, value string) {
	n := len(o.values)
	o.values = append(o.values, value)
	o.Header[name] = o.values[n : n+1 : n+1]
}

// add appends one element to a field that is a list.
func (o *outgoing) add(name, value string) {
	if known := o.Header[name]; len(known) > 0 {
		value = strings.Join(known, ", ") + ", " + value
	}
	o.set(name, value)
}

// setMissing sets a field that the caller did not send.
func (o *outgoing) setMissing(name, value string) {
	if o.Header[name] == nil {
		o.set(name, value)
	}
}

// forwardHeader returns the header of the request to a server, without the
// attempt's own fields.
func (g *Gateway) forwardHeader(r *http.Request) outgoing {
	o := outgoing{Header: make(http.Header, len(r.Header)+ownFields), values: make([]string, 0, ownFields)}
	copyEndToEnd(o.Header, r.Header)
	if listsToken(r.Header["Te"], "trailers") {
		o.set("Te", "trailers")
	}
	if _, ok := o.Header["User-Agent"]; !ok {
		o.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		o.add("X-Forwarded-For", host)
	}
	o.setMissing("X-Forwarded-Host", r.Host)
	o.setMissing("X-Forwarded-Proto", "http")
	via := g.via
	if r.ProtoMajor > 1 {
		via = "2.0 " + g.cfg.Name
	}
	o.add("Via", via)
	return o
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
