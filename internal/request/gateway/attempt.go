package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/upload"
)

var (
	errDeadline   = errors.New("wait for response header: deadline exceeded")
	errStalled    = errors.New("read response body: no progress")
	errSuperseded = errors.New("wait for response header: another attempt answered first")
	errFinished   = errors.New("attempt has finished")
	errLost       = errors.New("wait for response header: the service can no longer be reached")
)

// attempt sends a call's request to one server, or to another gateway, and holds the
// result.
type attempt struct {
	c *call
	// through is the gateway that the call is forwarded to; nil if the attempt sends the
	// request to a server. Such an attempt has no server, and assignment states the reason.
	through    *mustardsaddle.VM
	id         string
	assignment admission.Assignment
	ctx        context.Context
	cancel     context.CancelCauseFunc
	policy     connectionPolicy

	body         *upload.Sending // nil if the attempt could not have the body
	conn         *connection.CountedConn
	sequence     int64 // the number of the request among those on conn
	writesBefore int64
	readsBefore  int64
	reused       bool
	stale        bool
	sentAt       time.Time

	resp     *http.Response
	err      error
	outcome  mustardsaddle.Outcome
	shed     bool
	mismatch bool
	latency  time.Duration
	// finished is true once finish was called.
	finished bool
	// serverEnded is true if the server has ended since the request was sent.
	serverEnded bool

	// sentBefore is the number of attempts that were sent to servers before the call was
	// forwarded, granted the number of those that the other gateway may send, and answer
	// what its response states.
	sentBefore, granted int
	answer              forward.Answer
}

// target returns the name of the log field for the receiver of the request, and its name.
func (a *attempt) target() (field, name string) {
	if a.through != nil {
		return "Through", a.through.Name
	}
	return "Server", a.assignment.Choice.Server.Name
}

// newAttempt prepares an attempt and logs the routing decision.
func (c *call) newAttempt(assignment admission.Assignment, policy connectionPolicy) *attempt {
	a := &attempt{c: c, id: c.g.nextAttempt(), assignment: assignment, policy: policy}
	a.ctx, a.cancel = context.WithCancelCause(c.r.Context())
	c.logRoute(a)
	return a
}

// send sends the request once and classifies the outcome. If the connection had
// been idle for too long and nothing was written to it, the request is sent on a
// new one, if its whole body is still there.
func (a *attempt) send(setHeaders func(http.Header)) {
	a.sentAt = time.Now()
	if a.mayMove() {
		remove := a.c.match.controller.OnLost(a.leaveLost)
		defer remove()
	}
	a.roundTrip(setHeaders)
	if a.stale && a.err != nil && a.conn.BlockWrites() == a.writesBefore {
		_ = a.body.Close()
		a.conn, a.reused, a.stale, a.policy = nil, false, false, newConnection
		a.roundTrip(setHeaders)
	}
	a.latency = time.Since(a.sentAt)
	if a.through != nil {
		a.classifyForward()
		return
	}
	a.c.match.controller.Metrics.Attempts.Inc(1)
	a.classify()
	a.recordPath()
}

// leaveLost ends the attempt because the service is lost. A gateway that stops waits for the
// response instead: another way may take longer than it has, and it does not get calls for long
// enough to regain a service that it has only taken for lost.
func (a *attempt) leaveLost() {
	if !a.c.g.stopping() {
		a.cancel(errLost)
	}
}

// mayMove reports whether the request may be sent again through another gateway when this
// one can no longer reach the service.
func (a *attempt) mayMove() bool {
	c := a.c
	return a.through == nil && c.match.carried == nil && !c.isolated && c.match.repeat == mustardsaddle.RepeatYes && !c.body.Streamed() &&
		c.g.cfg.Forwarding.MaxGateways > 0
}

// recordPath records whether the server could be reached. An attempt that was canceled
// before it had a connection shows nothing.
func (a *attempt) recordPath() {
	if a.bodyTaken() {
		return
	}
	server, controller, now := a.assignment.Choice.Server.Name, a.c.match.controller, time.Now()
	f := reach.Failure{Server: server, NewConnection: true, SentAt: a.sentAt}
	if a.conn != nil && !a.reused {
		controller.RecordDial(now, true, f)
	}
	if a.resp != nil {
		controller.RecordReply(now, server)
	}
	if a.unsent() && a.ctx.Err() == nil {
		f.Cause = admission.FailureCause(a.err)
		controller.RecordDial(now, false, f)
		controller.RecordFailure(now, f)
	}
}

// bodyTaken reports whether the attempt was not sent because an earlier one has a part of the body.
// That shows nothing about the server.
func (a *attempt) bodyTaken() bool {
	return errors.Is(a.err, upload.ErrTaken)
}

// unsent reports whether the attempt found no connection to its server.
func (a *attempt) unsent() bool {
	return a.through == nil && a.err != nil && a.conn == nil
}

// roundTrip passes the request to the transport that the connection policy
// requires.
func (a *attempt) roundTrip(setHeaders func(http.Header)) {
	a.body, a.err = a.c.body.Open()
	if a.err != nil {
		return
	}
	out := a.request()
	if setHeaders != nil {
		setHeaders(out.Header)
	}
	a.resp, a.err = a.transport().RoundTrip(out) //nolint:bodyclose // finish closes it
	if a.err == nil && a.conn != nil && !a.conn.Answered(a.sequence) {
		_, _ = a.resp.Body.Close(), a.conn.Close()
		a.resp, a.err = nil, response.ErrEarly
	}
}

// transport returns the transport for the receiver and the connection policy.
func (a *attempt) transport() *http.Transport {
	fresh := a.policy == newConnection
	switch {
	case a.through != nil && fresh:
		return a.c.g.toGateways.unpooled
	case a.through != nil:
		return a.c.g.toGateways.pooled
	case fresh:
		return a.c.g.unpooled
	default:
		return a.c.g.pooled
	}
}

// request builds the outgoing request, with the body that the attempt has.
func (a *attempt) request() *http.Request {
	c := a.c
	out := c.r.WithContext(httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.informational(),
	}))
	url := *c.r.URL
	url.Scheme, url.Host = "http", a.assignment.Choice.Server.Address
	url.Opaque = header.OpaquePath(c.r)
	out.URL = &url
	out.Host = c.r.Host
	out.RequestURI = ""
	out.Close = false
	fields := c.g.header.Forward(c.r)
	fields.Set(header.Attempt, a.id)
	c.setCustomer(&fields)
	names := c.g.cfg.Headers
	if !c.unboundedUpload() && names.Deadline != "" {
		left := max(time.Until(c.deadline).Milliseconds(), 1)
		fields.Set(names.Deadline, strconv.FormatInt(left, 10))
	}
	if a.through != nil {
		out.URL.Host = a.through.Peer
		fields.Set(forward.Header, a.forwardedCall().String())
	} else if names.Instance != "" {
		fields.Set(names.Instance, a.assignment.Choice.Server.Name)
	}
	out.Header = fields.Header
	if c.body.Empty() {
		delete(out.Header, "Expect")
	}
	trailer := header.TrailerNames(c.r.Trailer)
	c.g.removeCustomer(c.match.identification, trailer)
	a.body.Attach(out, trailer, a.policy != newConnection)
	return out
}

// gotConn records the connection of the attempt. A second connection means that
// http.Transport is resending the request by itself, so its writes are blocked.
// They are also blocked if the connection has been idle for longer than the policy
// allows, or has had its last response.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*connection.CountedConn)
	if !ok {
		return
	}
	if a.conn != nil {
		cn.BlockWrites()
		return
	}
	a.conn, a.reused = cn, info.Reused
	a.writesBefore, a.readsBefore = cn.Writes(), cn.Reads()
	sound := cn.BeginRequest()
	a.sequence = cn.Requests()
	if !sound || a.policy == aliveConnection && info.IdleTime > connection.LivenessWindow {
		a.stale = true
		cn.BlockWrites()
	}
}

// informational returns the function that relays 1xx responses; only the first
// attempt of a call has one.
func (a *attempt) informational() func(int, textproto.MIMEHeader) error {
	if a.assignment.Kind != booking.First {
		return nil
	}
	return a.c.relayInformational
}

// observeResponse passes on the load report and the statement in the response header.
func (a *attempt) observeResponse() {
	if a.through != nil || a.resp == nil || a.mismatch || a.misdirected() {
		return
	}
	a.c.match.controller.ObserveResponse(time.Now(), admission.Response{
		Server: a.assignment.Choice.Server, Header: a.resp.Header, Status: a.resp.StatusCode, SentAt: a.sentAt,
	})
}

// silent reports whether a reused connection returned nothing while the caller was
// still waiting.
func (a *attempt) silent() bool {
	return a.err != nil && a.reused && a.ctx.Err() != nil && a.c.r.Context().Err() == nil &&
		a.conn.Reads() == a.readsBefore
}

// finish releases the attempt and reports its result to the server selection, which
// gives the server's capacity to the next queued call. The connection is closed
// unless the response was read to its end.
func (a *attempt) finish() {
	a.finished = true
	if a.body != nil {
		_ = a.body.Close()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	canceled := a.ctx.Err() != nil
	a.cancel(errFinished)
	if a.through != nil {
		a.finishForward()
		return
	}
	controller := a.c.match.controller
	if a.silent() {
		controller.Metrics.NoResponse.Inc(1)
		event.Info(a.c.g.cfg.Logger, event.ConnectionSilent).Str("Attempt", a.id).
			Str("Server", a.assignment.Choice.Server.Name).Dur("Waited", a.latency).Send()
	}
	timedOut := a.timedOut()
	controller.Finish(time.Now(), mustardsaddle.Result{
		Server:       a.assignment.Choice.Server.Name,
		Outcome:      a.outcome,
		Shed:         a.shed,
		AddressTaken: a.resp != nil && a.misdirected(),
		Failed:       a.isServerFault() && (!canceled || timedOut),
		Canceled:     canceled && !timedOut,
		Latency:      a.latency,
	}, a.outcome == mustardsaddle.Ran && !canceled)
}

// callerTimeoutPercent is the percentage of a call's timeout after which a request
// that its caller cancels counts as timed out.
const callerTimeoutPercent = 90

// timedOut reports whether the server took too long. Most callers cancel shortly
// before the gateway's own deadline passes, and that counts as a timeout too.
func (a *attempt) timedOut() bool {
	cause := context.Cause(a.ctx)
	if errors.Is(cause, errDeadline) || errors.Is(cause, errStalled) {
		return true
	}
	callerCanceled := a.c.r.Context().Err() != nil && a.resp == nil
	return callerCanceled && a.latency >= a.c.match.deadline*callerTimeoutPercent/100
}

// isServerFault reports whether the result counts as a failure of the server.
func (a *attempt) isServerFault() bool {
	if a.err != nil || a.mismatch {
		return !a.bodyTaken()
	}
	return !a.shed && a.resp != nil && a.resp.StatusCode >= http.StatusInternalServerError
}

// code returns the result code for an attempt without a usable response.
func (a *attempt) code() code.Code {
	switch {
	case errors.Is(context.Cause(a.ctx), errDeadline):
		return code.CallDeadline
	case a.c.endedByStop():
		return code.CallStopping
	case a.c.r.Context().Err() != nil:
		return code.CallCanceled
	case a.c.body.TooLarge():
		return code.CallTooLarge
	case a.through != nil && !a.mismatch:
		return a.forwardCode()
	case a.mismatch:
		return code.CallMismatch
	case a.shed:
		return code.CallOverloaded
	case a.outcome == mustardsaddle.NotRun:
		return code.CallNoServer
	default:
		return code.CallBroken
	}
}
