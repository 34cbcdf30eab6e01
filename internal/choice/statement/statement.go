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
	"time"

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
	// WarmUpHeader is the response header in which the stand-in server states that it is
	// warming up.
	WarmUpHeader = "Endpoint-Warm-Up"
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

// ParseWarmUp returns for how long a server is still warming up by a response header, and
// false if the header does not say. For a value that cannot be read or is out of range it
// returns an error with code.StatementBad.
func ParseWarmUp(names *mustardsaddle.Headers, h http.Header) (time.Duration, bool, error) {
	text := get(h, names.WarmUp)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if maxMs := float64(mustardsaddle.MaxWarmUp.Milliseconds()); err != nil || !(ms >= 0 && ms <= maxMs) {
		return 0, false, code.Errorf(code.StatementBad, "parse warm-up: got %.64q, want 0 to %g milliseconds", text, maxMs)
	}
	return time.Duration(ms * float64(time.Millisecond)), true, nil
}

// get returns the value of a header, or nothing if the header has no name.
func get(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}
