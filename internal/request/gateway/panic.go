package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// errPanic is the error of a response that a panic has cut.
var errPanic = errors.New("serve call: panic")

// responseWriter is the writer of the response to a caller. It knows whether the final response has begun.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader writes an informational header, or begins the final response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begun = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// FlushError sends what was written. It does not begin a response.
func (w *responseWriter) FlushError() error {
	if !w.begun {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// endPanic ends a request whose handler has panicked: with a refusal, or by aborting a response that has begun.
// C is its call, or nil if there is none yet. It does nothing without a cause.
func (g *Gateway) endPanic(w *responseWriter, r *http.Request, carried *forward.Call, c *call, cause any) {
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	g.logPanic(r, cause)
	if c != nil {
		c.abandon(booking.First)
	}
	switch {
	case w.begun:
		g.withRequestID(event.Warn(g.cfg.Logger, event.CallCut), r).Int("Code", int(code.Internal)).Err(errPanic).Send()
		panic(http.ErrAbortHandler)
	case c != nil:
		c.refuse(&refusal.Refusal{Code: code.Internal, Outcome: c.outcomeOfPanic()})
	case carried != nil:
		g.refuse(w, r, "", refusal.NotRun(code.Internal).WithForward(carried.Gateway, 0))
	default:
		g.refuse(w, r, "", refusal.NotRun(code.Internal))
	}
}

// logPanic logs a panic while a request was served.
func (g *Gateway) logPanic(r *http.Request, cause any) {
	g.withRequestID(event.Error(g.cfg.Logger, event.CallPanicked), r).Str("Method", r.Method).Str("Path", r.URL.Path).
		Str("Panic", fmt.Sprint(cause)).Bytes("Stack", debug.Stack()).Send()
}

// abandon finishes the present attempt, or the hedge beside it, after a panic.
func (c *call) abandon(kind booking.Kind) {
	c.mu.Lock()
	a := c.primary
	if kind == booking.Hedge {
		a = c.hedge
	}
	c.mu.Unlock()
	if a != nil && !a.finished {
		a.finish()
	}
}

// outcomeOfPanic returns what is known about the execution of a call whose response is lost.
func (c *call) outcomeOfPanic() mustardsaddle.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Outcome() == mustardsaddle.NotRun {
		return mustardsaddle.NotRun
	}
	return mustardsaddle.Unknown
}

// tryHedge is like sendHedge, but returns nil after a panic, which would end the process.
func (c *call) tryHedge(primary *attempt) (hedge *attempt) {
	defer func() {
		if cause := recover(); cause != nil {
			c.g.logPanic(c.r, cause)
			c.abandon(booking.Hedge)
			hedge = nil
		}
	}()
	return c.sendHedge(primary)
}
