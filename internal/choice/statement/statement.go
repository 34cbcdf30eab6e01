// Package statement parses what endpoint servers state in their responses about the
// requests that they take, and holds the newest statement of each server.
//
// # Usage
//
//	stated, err := statement.Parse(names, resp.Header)
//	table := statement.NewTable()
//	table.SetServers(now, "Booking", servers)
//	change, changed := table.Observe(now, statement.Evidence{Server: server, Stated: stated, SentAt: sentAt})
package statement

import (
	"net/http"
	"strconv"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// LimitHeader is the response header in which a server states its limit, in requests
	// per second, unless the settings name another one.
	LimitHeader = "Endpoint-Limit"
	// LeavingHeader is the response header in which a server states that it is leaving,
	// unless the settings name another one.
	LeavingHeader = "Endpoint-Leaving"
)

// Parse returns the statement in a response header. Headers of which names has no name
// are not read. For a value that cannot be read or is out of range it returns an error
// with code.StatementBad, and what the other headers state.
func Parse(names *mustardsaddle.Headers, h http.Header) (mustardsaddle.Statement, error) {
	var stated mustardsaddle.Statement
	leaving, leavingErr := parseLeaving(get(h, names.Leaving))
	stated = stated.WithLeaving(leaving)
	text := get(h, names.Limit)
	if text == "" {
		return stated, leavingErr
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	limited := stated.WithLimit(perSecond)
	if err != nil || !limited.Valid() {
		return stated, code.Errorf(code.StatementBad, "parse server limit: got %.64q, want 0 to %g requests per second",
			text, float64(mustardsaddle.MaxStatedLimit))
	}
	return limited, leavingErr
}

func parseLeaving(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	leaving, err := strconv.ParseBool(text)
	if err != nil {
		return false, code.Errorf(code.StatementBad, "parse leaving statement: got %.64q, want 1 or 0", text)
	}
	return leaving, nil
}

// get returns the value of a header, or nothing if the header has no name.
func get(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}
