package gateway

import (
	"net/http"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// refuse sends a refusal to the caller: the code, the outcome and when to retry.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, attempt string, refused *refusal.Refusal) {
	status := refused.Status()
	g.logRefusal(r, attempt, refused)
	h := w.Header()
	h.Set(header.Outcome, refused.Outcome.String())
	h.Set(header.Code, strconv.Itoa(int(refused.Code)))
	if attempt != "" {
		h.Set(header.Attempt, attempt)
	}
	if refused.From != "" {
		h.Set(forward.SentHeader, strconv.Itoa(refused.Sent))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", authenticateScheme)
	}
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		h.Set("Retry-After", g.cfg.retryAfter(refused.RetryAfter))
	}
	body := refused.Body()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.extendWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// authenticateScheme is the value of WWW-Authenticate, which HTTP requires with status 401.
const authenticateScheme = "Key"

// logRefusal logs a refusal.
func (g *Gateway) logRefusal(r *http.Request, attempt string, refused *refusal.Refusal) {
	omitted, omit := g.omitRefusal(time.Now(), refused)
	if omit {
		return
	}
	line := g.withRequestID(event.Warn(g.cfg.Logger, event.CallRefused), r).Str("Method", r.Method).Str("Path", r.URL.Path).
		Str("Attempt", attempt).Int("Status", refused.Status()).Int("Code", int(refused.Code)).Str("Outcome", refused.Outcome.String())
	if refused.Customer != "" {
		line = line.Str("Customer", refused.Customer)
	}
	if refused.Service != "" {
		line = line.Str("Service", refused.Service).Dur("Waited", refused.Waited)
	}
	if refused.From != "" {
		line = line.Str("From", refused.From)
	}
	if refused.Digest != "" {
		line = line.Str("Digest", refused.Digest)
	}
	if refused.RetryAfter > 0 {
		line = line.Dur("RetryAfter", refused.RetryAfter)
	}
	if omitted > 0 {
		line = line.Int("Omitted", omitted)
	}
	line.Send()
}

// minFractionalRetryAfter is the minimum of Retry-After for callers that accept
// fractional seconds.
const minFractionalRetryAfter = 50 * time.Millisecond

// minRetryAfter returns the minimum of Retry-After.
func (cfg Config) minRetryAfter() time.Duration {
	if cfg.Headers.FractionalRetryAfter {
		return minFractionalRetryAfter
	}
	return time.Second
}

// retryAfter formats a delay as the value of Retry-After.
func (cfg Config) retryAfter(d time.Duration) string {
	d = max(d, cfg.minRetryAfter())
	if cfg.Headers.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(slot.Seconds(d))
}

// extendWriteDeadline restarts the write deadline of the caller's connection. The
// error is ignored because it only means that the writer supports no deadlines.
func (g *Gateway) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.cfg.ProgressTimeout))
}
