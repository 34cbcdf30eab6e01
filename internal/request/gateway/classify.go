package gateway

import (
	"net/http"
	"slices"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// classify determines the outcome from what was written and what was received.
func (a *attempt) classify() {
	if a.err != nil {
		a.outcome = mustardsaddle.Unknown
		if a.conn == nil || a.conn.BlockWrites() == a.writesBefore {
			a.outcome = mustardsaddle.NotRun
		}
		return
	}
	switch {
	case !a.matchesRequest():
		a.mismatch = true
		a.outcome = mustardsaddle.Unknown
		// The response to this request may still follow on the connection.
		if a.conn != nil {
			_ = a.conn.Close()
		}
	case a.declaredNotRun():
		a.shed = true
		a.outcome = mustardsaddle.NotRun
	case a.misdirected():
		a.outcome = mustardsaddle.NotRun
	default:
		a.outcome = mustardsaddle.Ran
	}
}

// matchesRequest reports whether the response belongs to this attempt: it must not
// echo a different ID, and a successful response must have the signature header if
// one is configured.
func (a *attempt) matchesRequest() bool {
	names, h := a.c.g.cfg.Headers, a.resp.Header
	if echoed := h.Get(header.Attempt); echoed != "" && echoed != a.id {
		return false
	}
	if echoed := h.Get(names.RequestID); echoed != "" && echoed != a.c.g.requestID(a.c.r) {
		return false
	}
	return !a.isLoadResponse() && a.hasSignature()
}

// matchesCaller reports whether a server's response that another gateway delivers belongs
// to the caller's request.
func (a *attempt) matchesCaller() bool {
	echoed := a.resp.Header.Get(a.c.g.cfg.Headers.RequestID)
	return (echoed == "" || echoed == a.c.g.requestID(a.c.r)) && a.hasSignature()
}

// hasSignature reports whether the response has the signature header, if one is configured
// and the response is successful.
func (a *attempt) hasSignature() bool {
	names, h := a.c.g.cfg.Headers, a.resp.Header
	success := a.resp.StatusCode >= http.StatusOK && a.resp.StatusCode < http.StatusMultipleChoices
	return !success || names.Signature == "" || h.Get(names.Signature) != ""
}

// isLoadResponse reports whether the response is a late copy of the response to a load
// query: it names the server, as only those and rejections do, but no request.
func (a *attempt) isLoadResponse() bool {
	names, h := a.c.g.cfg.Headers, a.resp.Header
	if names.Server == "" || h.Get(names.Server) == "" || a.misdirected() || a.declaredNotRun() {
		return false
	}
	return a.c.g.requestID(a.c.r) != "" && h.Get(names.RequestID) == ""
}

// declaredNotRun reports whether the server states that it did not execute the
// request.
func (a *attempt) declaredNotRun() bool {
	cfg := a.c.g.cfg
	return cfg.hasNotRunHeader(a.resp.Header) || cfg.Services[a.c.match.controller.Service].declaresNotRun(a.resp.StatusCode, a.resp.Header)
}

// misdirected reports whether the server answered 421 because another instance now
// has the address. It is always false unless requests name the instance.
func (a *attempt) misdirected() bool {
	return a.c.g.cfg.isMisdirected(a.resp.StatusCode)
}

func (cfg Config) hasNotRunHeader(h http.Header) bool {
	return cfg.Headers.NotRun != "" && h.Get(cfg.Headers.NotRun) != ""
}

func (cfg Config) isMisdirected(status int) bool {
	return cfg.Headers.Instance != "" && status == http.StatusMisdirectedRequest
}

// declaresNotRun reports whether a response has the status and the header by which servers of
// the service state that they did not execute the request.
func (s ServiceConfig) declaresNotRun(status int, h http.Header) bool {
	return s.NotRunStatus != 0 && status == s.NotRunStatus && h.Get(s.NotRunHeader) != ""
}

// isUnnamedRefusal reports whether a response states that its request has not run, but not which
// request that is. If a faulty server sent such a response once more on the same connection,
// it would be taken for the response to the next request there, which the server runs.
func (cfg Config) isUnnamedRefusal(status int, h http.Header) bool {
	notRun := cfg.hasNotRunHeader(h) || cfg.isMisdirected(status)
	for _, s := range cfg.Services {
		notRun = notRun || s.declaresNotRun(status, h)
	}
	named := h.Get(header.Attempt) != "" || cfg.Headers.RequestID != "" && h.Get(cfg.Headers.RequestID) != ""
	return notRun && !named
}

// refusalFields returns the names of the fields that isUnnamedRefusal reads.
func (cfg Config) refusalFields() []string {
	fields := []string{header.Attempt, cfg.Headers.RequestID, cfg.Headers.NotRun}
	for _, s := range cfg.Services {
		fields = append(fields, s.NotRunHeader)
	}
	return slices.DeleteFunc(fields, func(name string) bool { return name == "" })
}
