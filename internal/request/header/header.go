// Package header says which header fields pass a gateway, and which it sets.
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

// Headers of the load balancer's own. Those that a caller or a server sends are
// removed, so that nobody can forge an outcome.
const (
	// Outcome tells the caller what is known about execution.
	Outcome = "Mustardsaddle-Outcome"
	// Code tells the caller the number of the result code.
	Code = "Mustardsaddle-Code"
	// Attempt tells the server the attempt's id. A server may echo it.
	Attempt = "Mustardsaddle-Attempt"
	// Deadline tells the server how many milliseconds the caller waits.
	Deadline = "Mustardsaddle-Deadline"
	// ownPrefix begins the name of each of these.
	ownPrefix = "Mustardsaddle-"
)

// HopByHop reports whether a header belongs to one connection only.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return strings.HasPrefix(name, ownPrefix)
	}
}

// CopyEndToEnd adds to dst the headers of src that are not of one connection, nor
// named by Connection, nor our own. The value slices are shared.
func CopyEndToEnd(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if HopByHop(name) || (listed != nil && listsToken(listed, name)) {
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

// Outgoing is the header of the request to a server. Its own fields share one
// array of values.
type Outgoing struct {
	http.Header
	values []string
}

// ownFields is how many fields a request gains on its way.
const ownFields = 8

// Set replaces a field by one value.
func (o *Outgoing) Set(name, value string) {
	n := len(o.values)
	o.values = append(o.values, value)
	o.Header[name] = o.values[n : n+1 : n+1]
}

// add appends one element to a field that is a list.
func (o *Outgoing) add(name, value string) {
	if known := o.Header[name]; len(known) > 0 {
		value = strings.Join(known, ", ") + ", " + value
	}
	o.Set(name, value)
}

// setMissing sets a field that the caller did not send.
func (o *Outgoing) setMissing(name, value string) {
	if o.Header[name] == nil {
		o.Set(name, value)
	}
}

// Gateway forwards the headers of requests under its name.
type Gateway struct {
	// via1 and via2 are its elements of Via for callers of HTTP/1 and HTTP/2.
	via1, via2 string
}

// NewGateway returns the gateway of a name.
func NewGateway(name string) Gateway {
	return Gateway{via1: "1.1 " + name, via2: "2.0 " + name}
}

// Forward returns the header of the request to a server, without the attempt's own
// fields.
func (g Gateway) Forward(r *http.Request) Outgoing {
	o := Outgoing{Header: make(http.Header, len(r.Header)+ownFields), values: make([]string, 0, ownFields)}
	CopyEndToEnd(o.Header, r.Header)
	if listsToken(r.Header["Te"], "trailers") {
		o.Set("Te", "trailers")
	}
	if _, ok := o.Header["User-Agent"]; !ok {
		o.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		o.add("X-Forwarded-For", host)
	}
	o.setMissing("X-Forwarded-Host", r.Host)
	o.setMissing("X-Forwarded-Proto", "http")
	via := g.via1
	if r.ProtoMajor > 1 {
		via = g.via2
	}
	o.add("Via", via)
	return o
}

// TrailerNames returns the declared trailers that may pass, without values.
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
