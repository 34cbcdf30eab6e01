// Package forward defines how a gateway forwards a call to another gateway, which sends it
// to a server: the header that describes the call, and what the header of the response
// states. A call is forwarded once at most.
//
// The request is the caller's own, sent over HTTP to the peer address of the other gateway
// with the header Header. The response is a server's, or a refusal that states what is
// known about execution. A response without an outcome shows nothing.
//
// # Usage
//
//	r.Header.Set(forward.Header, forward.Call{Gateway: "gateway-1", Service: "Booking", Left: left}.String())
//	...
//	call, err := forward.Parse(r.Header.Get(forward.Header))
//	...
//	answer, err := forward.ParseAnswer(resp.Header)
package forward

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

const (
	// Header is the request header that describes a forwarded call.
	Header = "Mustardsaddle-Forward"
	// SentHeader is the header of a refusal with the number of attempts that were sent to
	// servers.
	SentHeader = "Mustardsaddle-Sent"
	// Format is the version of Header.
	Format = 1
	// MaxBytes bounds the length of Header.
	MaxBytes = 16 << 10
	// maxAttempts bounds the numbers of attempts.
	maxAttempts = 1 << 20
	// usageDigits is the number of significant digits of the usage of a customer.
	usageDigits = 4
	// maxLeft bounds the time that is left for a call.
	maxLeft = 24 * time.Hour
)

// Names of the values in Header.
const (
	keyFormat      = "Format"
	keyGateway     = "Gateway"
	keyIncarnation = "Incarnation"
	keyAttempt     = "Attempt"
	keyService     = "Service"
	keyGeneration  = "Generation"
	keyLeft        = "LeftMilliseconds"
	keySent        = "Sent"
	keyAttempts    = "Attempts"
	keyCustomer    = "Customer"
	keyUsage       = "Usage"
)

// Call describes a forwarded call.
type Call struct {
	// Gateway and Incarnation identify the gateway that forwards the call.
	Gateway     string
	Incarnation int64
	// Attempt is the ID of its attempt.
	Attempt string
	// Service is the service that it selected, and Generation the generation of the rules
	// by which it did so.
	Service    string
	Generation int64
	// Left is the time until the deadline of the call.
	Left time.Duration
	// Sent is the number of attempts of the call that were sent to servers before, and
	// Attempts the maximum number of further ones.
	Sent, Attempts int
	// Customer is the customer of the call, from whose quota the gateway that forwards the
	// call has taken it, and Usage is that of the grant. Customer is empty for an anonymous
	// call, and for one of an older gateway, which knows no customers.
	Customer string
	Usage    float64
}

// String returns the value of Header.
func (c Call) String() string {
	values := url.Values{
		keyFormat:      {strconv.Itoa(Format)},
		keyGateway:     {c.Gateway},
		keyIncarnation: {strconv.FormatInt(c.Incarnation, 10)},
		keyAttempt:     {c.Attempt},
		keyService:     {c.Service},
		keyGeneration:  {strconv.FormatInt(c.Generation, 10)},
		keyLeft:        {strconv.FormatInt(min(max(c.Left.Milliseconds(), 1), maxLeft.Milliseconds()), 10)},
		keySent:        {strconv.Itoa(c.Sent)},
		keyAttempts:    {strconv.Itoa(c.Attempts)},
	}
	if c.Customer != "" {
		values.Set(keyCustomer, c.Customer)
		values.Set(keyUsage, strconv.FormatFloat(c.Usage, 'g', usageDigits, 64))
	}
	return values.Encode()
}

// Parse parses the value of Header. The error has code.PeerNewerFormat for a newer format
// and code.PeerBadMessage for any other value that is malformed.
func Parse(text string) (Call, error) {
	if len(text) > MaxBytes {
		return Call{}, code.Errorf(code.PeerBadMessage, "header %s: got %d bytes, want at most %d", Header, len(text), MaxBytes)
	}
	values, err := url.ParseQuery(text)
	if err != nil {
		return Call{}, code.Wrapf(code.PeerBadMessage, err, "header %s", Header)
	}
	p := parser{values: values}
	format := p.number(keyFormat, 1, 1<<30)
	if p.err == nil && format > Format {
		return Call{}, code.Errorf(code.PeerNewerFormat, "header %s: got format %d, want at most %d", Header, format, Format)
	}
	c := Call{
		Gateway:     p.text(keyGateway),
		Incarnation: p.number(keyIncarnation, 0, 1<<62),
		Attempt:     p.text(keyAttempt),
		Service:     p.text(keyService),
		Generation:  p.number(keyGeneration, 0, 1<<62),
		Left:        time.Duration(p.number(keyLeft, 1, maxLeft.Milliseconds())) * time.Millisecond,
		Sent:        int(p.number(keySent, 0, maxAttempts)),
		Attempts:    int(p.number(keyAttempts, 1, maxAttempts)),
		Customer:    values.Get(keyCustomer),
		Usage:       p.usage(),
	}
	return c, p.err
}

// parser reads the values of Header and keeps the first error.
type parser struct {
	values url.Values
	err    error
}

// text returns a value that must not be empty.
func (p *parser) text(key string) string {
	value := p.values.Get(key)
	if value == "" && p.err == nil {
		p.err = code.Errorf(code.PeerBadMessage, "header %s: %s is missing", Header, key)
	}
	return value
}

// number returns a whole number from low to high.
func (p *parser) number(key string, low, high int64) int64 {
	n, err := strconv.ParseInt(p.values.Get(key), 10, 64)
	if p.err == nil && (err != nil || n < low || n > high) {
		p.err = code.Errorf(code.PeerBadMessage, "header %s: got %s=%q, want a number from %d to %d", Header, key, p.values.Get(key), low, high)
	}
	return n
}

// usage returns the optional usage of the customer.
func (p *parser) usage() float64 {
	text := p.values.Get(keyUsage)
	if text == "" {
		return 0
	}
	usage, err := strconv.ParseFloat(text, 64)
	if p.err == nil && (err != nil || math.IsNaN(usage) || usage < 0) {
		p.err = code.Errorf(code.PeerBadMessage, "header %s: got %s=%q, want a number from 0", Header, keyUsage, text)
	}
	return usage
}

// Answer is what the response to a forwarded call states.
type Answer struct {
	// Outcome is what is known about execution.
	Outcome mustardsaddle.Outcome
	// Code is the reason of a refusal; code.OK for a server's response.
	Code code.Code
	// Sent is the number of attempts that were sent to servers; for a refusal only.
	Sent int
	// RetryAfter is the delay after which the other gateway may take the call; for a
	// refusal only.
	RetryAfter time.Duration
}

// Delivered reports whether the response is a server's.
func (a Answer) Delivered() bool {
	return a.Outcome == mustardsaddle.Ran
}

// ParseAnswer returns what a response states. The error has code.PeerBadMessage if it
// states no outcome, so that it may not come from a gateway.
func ParseAnswer(h http.Header) (Answer, error) {
	var a Answer
	text := h.Get(header.Outcome)
	switch text {
	case mustardsaddle.Ran.String():
		return Answer{Outcome: mustardsaddle.Ran}, nil
	case mustardsaddle.NotRun.String():
		a.Outcome = mustardsaddle.NotRun
	case mustardsaddle.Unknown.String():
		a.Outcome = mustardsaddle.Unknown
	default:
		return Answer{}, code.Errorf(code.PeerBadMessage, "response of a gateway: got outcome %q", text)
	}
	number, err := strconv.Atoi(h.Get(header.Code))
	if err != nil || number <= 0 {
		return Answer{}, code.Errorf(code.PeerBadMessage, "response of a gateway: got code %q", h.Get(header.Code))
	}
	a.Code = code.Code(number)
	a.Sent, err = strconv.Atoi(h.Get(SentHeader))
	if err != nil || a.Sent < 0 || a.Sent > maxAttempts {
		return Answer{}, code.Errorf(code.PeerBadMessage, "response of a gateway: got %s %q", SentHeader, h.Get(SentHeader))
	}
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < maxLeft.Seconds() {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a, nil
}
