package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

var (
	errDeadline = errors.New("wait for response header: deadline passed")
	errProgress = errors.New("read response body: no progress")
	errLost     = errors.New("wait for response header: another attempt answered first")
	errOver     = errors.New("call is over")
)

// attempt is one sending of a call's request to one server, and what became of
// it.
type attempt struct {
	c         *call
	id        string
	placement admission.Placement
	ctx       context.Context
	cancel    context.CancelCauseFunc
	via       manner

	body       io.Closer
	conn       *connection.CountedConn
	baseWrites int64
	baseReads  int64
	reused     bool
	stale      bool
	sent       time.Time

	resp     *http.Response
	err      error
	outcome  mustardsaddle.Outcome
	shed     bool
	mismatch bool
	latency  time.Duration
}

// newAttempt prepares an attempt and logs the routing decision.
func (c *call) newAttempt(p admission.Placement, via manner) *attempt {
	a := &attempt{c: c, id: c.g.nextAttempt(), placement: p, via: via}
	a.ctx, a.cancel = context.WithCancelCause(c.r.Context())
	c.logRoute(a)
	return a
}

// send sends the request once and classifies the outcome.
func (a *attempt) send(extra func(http.Header)) {
	a.sent = time.Now()
	a.roundTrip(extra)
	if a.stale && a.err != nil && a.conn.BlockWrites() == a.baseWrites {
		a.conn, a.reused, a.stale, a.via = nil, false, false, newConnection
		a.roundTrip(extra)
	}
	a.latency = time.Since(a.sent)
	a.c.m.lane.Metrics.Attempts.Inc(1)
	a.classify()
}

// roundTrip hands the request to the connection library.
func (a *attempt) roundTrip(extra func(http.Header)) {
	out := a.request()
	if extra != nil {
		extra(out.Header)
	}
	transport := a.c.g.reuse
	if a.via == newConnection {
		transport = a.c.g.fresh
	}
	a.body = out.Body
	a.resp, a.err = transport.RoundTrip(out) //nolint:bodyclose // finish closes it
}

// request builds the outgoing request.
func (a *attempt) request() *http.Request {
	c := a.c
	out := c.r.WithContext(httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.informational(),
	}))
	url := *c.r.URL
	url.Scheme, url.Host = "http", a.placement.Choice.Server.Address
	out.URL = &url
	out.Host = c.r.Host
	out.RequestURI = ""
	out.Close = false
	fields := c.g.header.Forward(c.r)
	fields.Set(header.Attempt, a.id)
	names := c.g.cfg.Headers
	if !c.body.streamed() && names.Deadline != "" {
		left := max(time.Until(c.deadline).Milliseconds(), 1)
		fields.Set(names.Deadline, strconv.FormatInt(left, 10))
	}
	if names.Instance != "" {
		fields.Set(names.Instance, a.placement.Choice.Server.Name)
	}
	out.Header = fields.Header
	if c.body.empty {
		delete(out.Header, "Expect")
	}
	c.body.put(out, a.via != newConnection)
	return out
}

// gotConn notes the connection that carries the attempt. A second one would be a
// silent resend of http.Transport: nothing may leave by it. Nor may anything leave
// by a connection that has been idle too long for the attempt.
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
	a.baseWrites, a.baseReads = cn.Writes(), cn.Reads()
	if a.via == aliveConnection && info.IdleTime > connection.AliveWindow {
		a.stale = true
		cn.BlockWrites()
	}
}

// informational returns the function that relays 1xx answers of the first attempt.
func (a *attempt) informational() func(int, textproto.MIMEHeader) error {
	if a.placement.Kind != 0 {
		return nil
	}
	return a.c.relayInformational
}

// classify decides the outcome from what was written and what came back.
func (a *attempt) classify() {
	if a.err != nil {
		a.outcome = mustardsaddle.Unknown
		if a.conn == nil || a.conn.BlockWrites() == a.baseWrites {
			a.outcome = mustardsaddle.NotRun
		}
		return
	}
	switch {
	case !a.ours():
		a.mismatch = true
		a.outcome = mustardsaddle.Unknown
	case a.declaredNotRun():
		a.shed = true
		a.outcome = mustardsaddle.NotRun
	case a.otherInstance():
		a.outcome = mustardsaddle.NotRun
	default:
		a.outcome = mustardsaddle.Ran
	}
}

// ours reports whether the answer belongs to the attempt: it echoes no other id,
// and a successful one has the signature that it must have.
func (a *attempt) ours() bool {
	names, h := a.c.g.cfg.Headers, a.resp.Header
	if echoed := h.Get(header.Attempt); echoed != "" && echoed != a.id {
		return false
	}
	if echoed := h.Get(names.RequestID); echoed != "" && echoed != a.c.g.requestID(a.c.r) {
		return false
	}
	success := a.resp.StatusCode >= http.StatusOK && a.resp.StatusCode < http.StatusMultipleChoices
	return !success || names.Signature == "" || h.Get(names.Signature) != ""
}

// declaredNotRun reports whether the server says that it did not run the request.
func (a *attempt) declaredNotRun() bool {
	h := a.resp.Header
	if name := a.c.g.cfg.Headers.NotRun; name != "" && h.Get(name) != "" {
		return true
	}
	declared := a.c.g.cfg.Services[a.c.m.lane.Service]
	return declared.NotRunStatus != 0 && a.resp.StatusCode == declared.NotRunStatus && h.Get(declared.NotRunHeader) != ""
}

// otherInstance reports whether another server has the address.
func (a *attempt) otherInstance() bool {
	return a.c.g.cfg.Headers.Instance != "" && a.resp.StatusCode == http.StatusMisdirectedRequest
}

// observe passes on the load report of the answer.
func (a *attempt) observe() {
	if a.resp == nil || a.mismatch || a.otherInstance() {
		return
	}
	a.c.m.lane.ObserveHeader(time.Now(), a.placement.Choice.Server.Name, a.resp.Header)
}

// silent reports whether a connection that had served before carried nothing back.
func (a *attempt) silent() bool {
	return a.err != nil && a.reused && a.ctx.Err() != nil && a.c.r.Context().Err() == nil &&
		a.conn.Reads() == a.baseReads
}

// finish ends the attempt: its connection is closed unless the answer was read to
// its end, and its place is passed on.
func (a *attempt) finish() {
	_ = a.body.Close()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	canceled := a.ctx.Err() != nil
	a.cancel(errOver)
	l := a.c.m.lane
	if a.silent() {
		l.Metrics.Silent.Inc(1)
		event.Info(a.c.g.cfg.Logger, event.ConnectionSilent).Str("Attempt", a.id).
			Str("Server", a.placement.Choice.Server.Name).Dur("Waited", a.latency).Send()
	}
	timedOut := a.timedOut()
	l.Finish(time.Now(), mustardsaddle.Result{
		Server:   a.placement.Choice.Server.Name,
		Outcome:  a.outcome,
		Shed:     a.shed,
		Gone:     a.resp != nil && a.otherInstance(),
		Failed:   a.failed() && (!canceled || timedOut),
		Canceled: canceled && !timedOut,
		Latency:  a.latency,
	}, a.outcome == mustardsaddle.Ran && !canceled)
}

// patienceEnd is the part of a call's time, in percent, after which a caller that
// leaves has waited as long as it said.
const patienceEnd = 90

// timedOut reports whether the attempt ended since the server took too long. A caller
// mostly leaves a moment before its deadline passes here, and says the same by that.
func (a *attempt) timedOut() bool {
	cause := context.Cause(a.ctx)
	if errors.Is(cause, errDeadline) || errors.Is(cause, errProgress) {
		return true
	}
	left := a.c.r.Context().Err() != nil && a.resp == nil
	return left && a.latency >= a.c.m.deadline*patienceEnd/100
}

// failed reports whether the attempt speaks against the server.
func (a *attempt) failed() bool {
	if a.err != nil || a.mismatch {
		return true
	}
	return !a.shed && a.resp != nil && a.resp.StatusCode >= http.StatusInternalServerError
}

// code returns the result code that says why the attempt brought no answer.
func (a *attempt) code() code.Code {
	_, tooLarge := a.c.body.state()
	switch {
	case errors.Is(context.Cause(a.ctx), errDeadline):
		return code.CallDeadline
	case a.c.r.Context().Err() != nil:
		return code.CallCanceled
	case tooLarge:
		return code.CallTooLarge
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
