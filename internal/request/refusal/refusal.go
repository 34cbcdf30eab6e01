// Package refusal describes a response that the gateway sends itself in place of a
// server's: its code, what is known about the execution of the request, and the HTTP
// status and body for the caller.
//
// # Usage
//
//	refused := refusal.NotRun(code.CallNoRule)
//	w.WriteHeader(refused.Status())
//	io.WriteString(w, refused.Body())
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Refusal is a call that ends without a server's response.
type Refusal struct {
	// Code is the reason, and Outcome says whether the request was executed.
	Code    code.Code
	Outcome mustardsaddle.Outcome
	// RetryAfter is how long the caller should wait before it retries; 0 means the
	// minimum.
	RetryAfter time.Duration
	// Service is the service that the request was routed to; empty if no rule matched.
	Service string
	// Waited is the time from the start of the call to the refusal.
	Waited time.Duration
	// From is the gateway that forwarded the call; empty for a caller's own.
	From string
	// Digest identifies the request if it is suspect or quarantined; empty otherwise.
	Digest string
	// Customer is the customer of the call; empty if it has none.
	Customer string
	// Repetitive is true if callers may cause any number of refusals alike, so that not
	// each of them gets a log line.
	Repetitive bool
	// Sent is the number of attempts that were sent to servers, which a gateway that has
	// forwarded the call is told.
	Sent int
}

// WithForward returns a copy of the refusal for the gateway that forwarded the call.
func (r Refusal) WithForward(from string, sent int) *Refusal {
	r.From, r.Sent = from, sent
	return &r
}

// NotRun returns the refusal of a request of which no byte was sent to a server.
func NotRun(c code.Code) *Refusal {
	return &Refusal{Code: c, Outcome: mustardsaddle.NotRun}
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if r.Code == code.CallClaimed {
		return http.StatusConflict
	}
	if r.Outcome != mustardsaddle.NotRun {
		if r.Code == code.CallDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.Code {
	case code.CallNoRule:
		return http.StatusNotFound
	case code.CallBadRequest:
		return http.StatusBadRequest
	case code.CallTooLarge:
		return http.StatusRequestEntityTooLarge
	case code.CallUpgrade:
		return http.StatusNotImplemented
	case code.CallKeyUnknown:
		return http.StatusUnauthorized
	case code.CallOverloaded, code.CallOverQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// Body returns the response body: one line with the code and the outcome.
func (r *Refusal) Body() string {
	return fmt.Sprintf("Code=%d Outcome=%s\n", int(r.Code), r.Outcome)
}
