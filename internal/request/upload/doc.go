// Package upload owns the bodies of callers' requests. A Body lends itself to one Sending
// after another, and a Sending contains either the whole body or does not exist: once a byte
// of a body that is not kept in memory was taken, Open returns ErrTaken. So no server gets a
// request with a part of its body missing, whatever the reason for sending it again.
//
// A small body of known length is kept, so that any number of sendings can have it at the same
// time. Any other body is streamed: one sending at a time can have it, and closing a sending
// that has read nothing returns the body.
//
// # Usage
//
//	body := upload.New(upload.Config{Request: r, Connection: http.NewResponseController(w), Identity: h})
//	defer body.Release()
//	if err := body.Keep(deadline); err != nil { ... } // reads a small body
//	sending, err := body.Open()
//	if err != nil { ... }                             // the request cannot be sent again
//	sending.Attach(out, trailer, reuse)
//	...                                               // send out
//	sending.Close()
//
// # Invariants
//
// Each byte of a streamed body is read from the caller once and given to at most one sending.
// The bytes that a sending reads are the body from its first byte on.
package upload
