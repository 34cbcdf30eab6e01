// Package header implements the header handling of the reverse proxy: which fields are
// forwarded, which are removed and which are set.
//
// # Usage
//
//	g := header.NewGateway("gateway-1")
//	out := g.Forward(r)
//	out.Set(header.Attempt, id)
//	...
//	header.CopyEndToEnd(w.Header(), resp.Header)
package header

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers reserved for the load balancer. They are removed from the requests of callers
// and the responses of servers, so that neither can forge an outcome.
const (
	// Outcome is the response header that states what is known about execution.
	Outcome = "Mustardsaddle-Outcome"
	// Code is the response header with the number of the result code.
	Code = "Mustardsaddle-Code"
	// Attempt is the request header with the ID of the attempt. A server may echo it.
	Attempt = "Mustardsaddle-Attempt"
	// Deadline is the request header with the remaining time of the caller in
	// milliseconds.
	Deadline = "Mustardsaddle-Deadline"
	// reservedPrefix is the prefix of all reserved headers.
	reservedPrefix = "Mustardsaddle-"
)

// HopByHop reports whether a header is not forwarded because it is hop-by-hop or
// reserved for the load balancer.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return strings.HasPrefix(name, reservedPrefix)
	}
}

// CopyEndToEnd copies to dst the headers of src that are neither hop-by-hop, nor listed in
// Connection, nor reserved. The value slices are shared.
func CopyEndToEnd(dst, src http.Header) {
	connectionTokens := src["Connection"]
	for name, values := range src {
		if HopByHop(name) || (connectionTokens != nil && containsToken(connectionTokens, name)) {
			continue
		}
		dst[name] = values
	}
}

// containsToken reports whether comma-separated header values contain the token, ignoring
// case.
func containsToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// Outgoing is the header of a request to a server. The values of the fields set by the
// gateway share one array.
type Outgoing struct {
	http.Header
	values []string
}

// addedCapacity is the capacity reserved for the fields that the gateway adds to a request.
const addedCapacity = 8

// Set sets a field to a single value.
func (o *Outgoing) Set(name, value string) {
	n := len(o.values)
	o.values = append(o.values, value)
	o.Header[name] = o.values[n : n+1 : n+1]
}

// appendToList appends one element to a comma-separated list field.
func (o *Outgoing) appendToList(name, value string) {
	if existing := o.Header[name]; len(existing) > 0 {
		value = strings.Join(existing, ", ") + ", " + value
	}
	o.Set(name, value)
}

// setDefault sets a field unless the caller sent it.
func (o *Outgoing) setDefault(name, value string) {
	if o.Header[name] == nil {
		o.Set(name, value)
	}
}

// Gateway creates the headers of forwarded requests.
type Gateway struct {
	// via1 and via2 are the Via elements for requests received over HTTP/1 and HTTP/2.
	via1, via2 string
}

// NewGateway returns a Gateway that adds the given name to Via.
func NewGateway(name string) Gateway {
	return Gateway{via1: "1.1 " + name, via2: "2.0 " + name}
}

// Forward returns the header of a request to a server, without the fields that differ
// between attempts.
func (g Gateway) Forward(r *http.Request) Outgoing {
	o := Outgoing{Header: make(http.Header, len(r.Header)+addedCapacity), values: make([]string, 0, addedCapacity)}
	CopyEndToEnd(o.Header, r.Header)
	if containsToken(r.Header["Te"], "trailers") {
		o.Set("Te", "trailers")
	}
	if _, ok := o.Header["User-Agent"]; !ok {
		o.Header["User-Agent"] = nil // prevents net/http from adding its default
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		o.appendToList("X-Forwarded-For", host)
	}
	o.setDefault("X-Forwarded-Host", r.Host)
	o.setDefault("X-Forwarded-Proto", "http")
	via := g.via1
	if r.ProtoMajor > 1 {
		via = g.via2
	}
	o.appendToList("Via", via)
	return o
}

// TrailerNames returns the declared trailers that may be forwarded, without values.
func TrailerNames(declared http.Header) http.Header {
	if len(declared) == 0 {
		return nil
	}
	names := make(http.Header, len(declared))
	for name := range declared {
		if !HopByHop(name) && name != "Content-Length" {
			names[name] = nil
		}
	}
	return names
}
