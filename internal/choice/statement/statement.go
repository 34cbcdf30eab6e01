// Package statement parses what endpoint servers state in their responses about the
// requests that they take, and holds the newest statement of each server.
//
// # Usage
//
//	stated, err := statement.Parse(names, resp.Header)
//	table := statement.NewTable()
//	table.SetServers("Booking", servers)
//	change, changed := table.Observe(now, statement.Evidence{Server: server, Stated: stated, SentAt: sentAt})
package statement

import (
	"net/http"
	"strconv"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// LimitHeader is the response header in which a server states its limit, in requests per
// second, unless the settings name another one.
const LimitHeader = "Endpoint-Limit"

// Parse returns the statement in a response header. Headers of which names has no name
// are not read. For a value that is not a number from 0 to mustardsaddle.MaxStatedLimit
// it returns an error with code.StatementBad; the last statement that could be read then
// stays in effect.
func Parse(names *mustardsaddle.Headers, h http.Header) (mustardsaddle.Statement, error) {
	var stated mustardsaddle.Statement
	if names.Limit == "" {
		return stated, nil
	}
	text := h.Get(names.Limit)
	if text == "" {
		return stated, nil
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	limited := stated.WithLimit(perSecond)
	if err != nil || !limited.Valid() {
		return stated, code.Errorf(code.StatementBad, "parse server limit: got %.64q, want 0 to %g requests per second",
			text, float64(mustardsaddle.MaxStatedLimit))
	}
	return limited, nil
}
