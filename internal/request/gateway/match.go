package gateway

import (
	"net/http"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// matched is the result of the match filter.
type matched struct {
	rule     rule.Rule
	repeat   mustardsaddle.Repeat
	deadline time.Duration
	lane     *lane
}

// match finds the rule of a request, or refuses what has none or could not be
// forwarded faithfully.
func (g *Gateway) match(r *http.Request) (matched, *refusal) {
	table := g.rules.Load()
	if table == nil {
		return matched{}, notRun(code.CallNotReady)
	}
	if upgrades(r) {
		return matched{}, notRun(code.CallUpgrade)
	}
	if r.ContentLength > g.cfg.BodyBytes {
		return matched{}, notRun(code.CallTooLarge)
	}
	found, ok := table.Match(r)
	if !ok {
		return matched{}, notRun(code.CallNoRule)
	}
	m := matched{rule: found, repeat: found.RepeatOf(r.Method), deadline: found.Deadline, lane: g.lane(found.Service)}
	if m.lane == nil {
		return matched{}, notRun(code.CallNoServer)
	}
	if m.deadline == 0 {
		m.deadline = g.cfg.Deadline
	}
	return m, nil
}

// upgrades reports whether the request asks for another protocol. An offer of
// unencrypted HTTP/2 may be ignored, and is.
func upgrades(r *http.Request) bool {
	if r.Method == http.MethodConnect {
		return true
	}
	offer := r.Header.Get("Upgrade")
	return offer != "" && !strings.EqualFold(offer, "h2c")
}
