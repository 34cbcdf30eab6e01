package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// refusal is the end of a call without a server's answer.
type refusal struct {
	code       code.Code
	outcome    mustardsaddle.Outcome
	retryAfter time.Duration
	// service is the service that the call was for; empty if no rule matched.
	service string
	// waited is how long the caller has waited for the refusal.
	waited time.Duration
}

// notRun returns the refusal of a request of which no byte was sent.
func notRun(c code.Code) *refusal {
	return &refusal{code: c, outcome: mustardsaddle.NotRun}
}

// status returns the HTTP status that goes with the refusal.
func (n *refusal) status() int {
	if n.code == code.CallClaimed {
		return http.StatusConflict
	}
	if n.outcome != mustardsaddle.NotRun {
		if n.code == code.CallDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch n.code {
	case code.CallNoRule:
		return http.StatusNotFound
	case code.CallBadRequest:
		return http.StatusBadRequest
	case code.CallTooLarge:
		return http.StatusRequestEntityTooLarge
	case code.CallUpgrade:
		return http.StatusNotImplemented
	case code.CallOverloaded:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// body returns the one line that a refused caller reads.
func (n *refusal) body() string {
	return fmt.Sprintf("Code=%d Outcome=%s\n", int(n.code), n.outcome)
}

// refuse answers at once with what is known and when to come back.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, attempt string, n *refusal) {
	status := n.status()
	line := g.name(event.Warn(g.cfg.Logger, event.CallRefused), r).Str("Method", r.Method).Str("Path", r.URL.Path).
		Str("Attempt", attempt).Int("Status", status).Int("Code", int(n.code)).Str("Outcome", n.outcome.String())
	if n.service != "" {
		line = line.Str("Service", n.service).Dur("Waited", n.waited)
	}
	if n.retryAfter > 0 {
		line = line.Dur("RetryAfter", n.retryAfter)
	}
	line.Send()
	h := w.Header()
	h.Set(header.Outcome, n.outcome.String())
	h.Set(header.Code, strconv.Itoa(int(n.code)))
	if attempt != "" {
		h.Set(header.Attempt, attempt)
	}
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		h.Set("Retry-After", g.cfg.retryAfter(n.retryAfter))
	}
	body := n.body()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.extend(w)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// minFraction is the shortest wait that is told to callers who understand fractions.
const minFraction = 50 * time.Millisecond

// minRetryAfter returns the shortest wait that a refused caller can be told.
func (cfg Config) minRetryAfter() time.Duration {
	if cfg.Headers.FractionalRetryAfter {
		return minFraction
	}
	return time.Second
}

// retryAfter renders a wait for the Retry-After header.
func (cfg Config) retryAfter(d time.Duration) string {
	d = max(d, cfg.minRetryAfter())
	if cfg.Headers.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(slot.Seconds(d))
}

// extend gives the caller's connection time to take what is written next. The
// error is that of a writer that has no deadlines.
func (g *Gateway) extend(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.cfg.Progress))
}
