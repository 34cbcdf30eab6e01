package mustardsaddle

import "time"

// Headers names the headers by which callers and endpoint servers tell gateways
// more than HTTP itself does. An empty name means that nobody says it.
type Headers struct {
	// RequestID names a request, in requests and in their answers.
	RequestID string
	// Deadline tells how many milliseconds the sender of a request still waits.
	Deadline string
	// Instance tells which server a request is meant for. Any other server answers
	// 421 and does not run the request.
	Instance string
	// Server is the name of the server that answers.
	Server string
	// Load is the load report of an answer.
	Load string
	// NotRun declares in an answer that the request was not run.
	NotRun string
	// Signature stands in each successful answer.
	Signature string
	// ParseLoad reads a load report that arrived at now.
	ParseLoad func(now time.Time, text string) (Report, error)
	// FractionalRetryAfter tells that callers understand a fraction of a second.
	FractionalRetryAfter bool
}
