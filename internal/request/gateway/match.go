package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// maxCallerTimeout is the longest timeout that is accepted from a caller.
const maxCallerTimeout = 24 * time.Hour

// matchResult is the result of the match stage.
type matchResult struct {
	rule     rule.Rule
	repeat   mustardsaddle.Repeat
	deadline time.Duration
	// bounded is true if the rule or the caller states the deadline, which then bounds the
	// upload of the body too. The default deadline bounds only the wait for the response.
	bounded bool
	// generation is the generation of the rules that matched.
	generation int64
	// attempts is the maximum number of attempts.
	attempts   int
	controller *admission.Controller
	identification
	// elapsed is the estimated time for which the caller has waited before.
	elapsed time.Duration
	// carried describes the call if another gateway has forwarded it; nil otherwise.
	carried *forward.Call
}

// match finds the rule of a request. It refuses a request that has no rule or
// cannot be forwarded unchanged, and one of another gateway that has newer rules.
func (g *Gateway) match(r *http.Request, carried *forward.Call) (matchResult, *refusal.Refusal) {
	table := g.rules.Load()
	if table == nil || carried != nil && table.File.Generation < carried.Generation {
		return matchResult{}, refusal.NotRun(code.CallNotReady)
	}
	if isUpgrade(r) {
		return matchResult{}, refusal.NotRun(code.CallUpgrade)
	}
	if r.ContentLength > g.cfg.MaxBodyBytes {
		return matchResult{}, refusal.NotRun(code.CallTooLarge)
	}
	found, ok := table.Match(r)
	if !ok {
		return matchResult{}, refusal.NotRun(code.CallNoRule)
	}
	id, refused := g.identify(table, found, r, carried)
	if refused != nil {
		return matchResult{}, refused
	}
	m := matchResult{
		identification: id,
		rule:           found, generation: table.File.Generation, repeat: found.RepeatPolicy(r.Method),
		controller: g.controllers.Get(g.pickService(table.TrafficSplit(found), carried)), carried: carried,
		deadline: cmp.Or(found.Deadline, g.cfg.Deadline), attempts: cmp.Or(found.Attempts, g.cfg.MaxAttempts),
	}
	if m.controller == nil {
		return matchResult{}, refusal.NotRun(code.CallNoServer)
	}
	m.bounded = found.Deadline > 0
	if timeout, ok := g.callerTimeout(r); ok {
		m.bounded = true
		if carried == nil {
			m.elapsed = g.arrivals.elapsed(found, timeout)
		}
		m.deadline = min(m.deadline, timeout)
	}
	if carried != nil {
		m.deadline = min(m.deadline, carried.Left)
		m.attempts = min(m.attempts, carried.Sent+carried.Attempts)
	}
	return m, nil
}

// pickService selects the service of one call by weight. The service that another gateway
// has selected stays, if the rule names it.
func (g *Gateway) pickService(s rule.TrafficSplit, carried *forward.Call) string {
	if carried != nil && slices.ContainsFunc(s.Services(), func(w rule.WeightedService) bool { return w.Service == carried.Service }) {
		return carried.Service
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.Pick(g.rng)
}

// callerTimeout returns the timeout that the caller states. The project's own
// header is set by gateways only, so it is ignored in callers' requests.
func (g *Gateway) callerTimeout(r *http.Request) (time.Duration, bool) {
	name := g.cfg.Headers.Deadline
	if name == "" || name == header.Deadline {
		return 0, false
	}
	millis, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil || millis < 0 || millis > maxCallerTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// isUpgrade reports whether the request asks for another protocol. An offer of
// unencrypted HTTP/2 is optional and is ignored.
func isUpgrade(r *http.Request) bool {
	if r.Method == http.MethodConnect {
		return true
	}
	offer := r.Header.Get("Upgrade")
	return offer != "" && !strings.EqualFold(offer, "h2c")
}
