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
	"math"
	"net/http"
	"strconv"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// LimitHeader is the response header in which a server states its limit, in requests per
// second, unless the settings name another one.
const LimitHeader = "Endpoint-Limit"

// maxPerSecond is the highest limit that is read, in requests per second.
const maxPerSecond = 1e6

// Parse returns the statement in a response header. Headers of which names has no name
// are not read. A value that is not a number from 0 to maxPerSecond returns an error
// with code.StatementBad, and the response then counts as one without a statement.
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
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxPerSecond {
		return stated, code.Errorf(code.StatementBad, "parse server limit: got %.64q, want 0 to %g requests per second", text, float64(maxPerSecond))
	}
	return stated.WithLimit(perSecond), nil
}
