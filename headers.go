package mustardsaddle

import "time"

// Headers holds the names of the headers by which callers and endpoint servers pass
// information to gateways beyond what HTTP defines. An empty name means that the
// information is not sent.
type Headers struct {
	// RequestID is the header that identifies a request, in the request and in its
	// response.
	RequestID string
	// Deadline is the header with the number of milliseconds for which the sender
	// of a request still waits.
	Deadline string
	// Instance is the header with the server for which a request is meant. Any
	// other server answers 421 and does not run the request.
	Instance string
	// Server is the header with the name of the server that responds.
	Server string
	// Load is the header with the load report in a response.
	Load string
	// NotRun is the header by which a response declares that the request was not
	// run.
	NotRun string
	// Signature is the header that is present in each successful response.
	Signature string
	// Limit is the header with the number of requests per second that the responding
	// server takes from all gateways together.
	Limit string
	// Leaving is the header by which the responding server states that it is leaving: 1,
	// or 0 if it is not.
	Leaving string
	// Key is the request header with the key of the customer. It is not sent to servers.
	Key string
	// Customer is the request header that tells a server the name of the customer.
	Customer string
	// WarmUp is the response header with the number of milliseconds for which the
	// responding server is still warming up.
	WarmUp string
	// Caller is the header that names the caller of a request.
	Caller string
	// ParseLoad parses a load report received at now.
	ParseLoad func(now time.Time, text string) (Report, error)
	// FractionalRetryAfter is true if callers accept a fraction of a second in
	// Retry-After.
	FractionalRetryAfter bool
}
