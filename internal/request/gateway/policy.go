package gateway

import (
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
)

// connectionPolicy states which connections an attempt may use.
type connectionPolicy int

const (
	// newConnection requires a connection that is used for this attempt only.
	newConnection connectionPolicy = iota
	// anyConnection permits any idle connection of the pool.
	anyConnection
	// aliveConnection permits an idle connection that returned a response within
	// connection.LivenessWindow.
	aliveConnection
)

// connectionPolicy returns which connections an attempt may use. An idempotent
// request may use any. A request that runs at most once needs a new connection, or
// one that was alive a moment ago: if that one breaks all the same, the outcome is
// Unknown as on a new one, and nothing is resent. POST, PUT and PATCH without a
// body state "Content-Length: 0" and need a new connection, because DisableResend
// hides that length.
func (c *call) connectionPolicy(assigned admission.Assignment) connectionPolicy {
	if c.needsNewConnection() {
		return newConnection
	}
	if c.match.repeat == mustardsaddle.RepeatYes {
		return anyConnection
	}
	if !c.match.controller.RecentlyIdle(time.Now(), assigned.Choice.Server.Name) {
		return newConnection
	}
	return aliveConnection
}

// needsNewConnection reports whether the request can be sent on a new connection only,
// whatever the server.
func (c *call) needsNewConnection() bool {
	switch c.r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if c.body.Empty() {
			return true
		}
	}
	return c.match.repeat != mustardsaddle.RepeatYes && c.body.Streamed()
}
