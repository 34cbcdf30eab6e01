package statement

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// MaxPause is the longest pause that is kept; a longer one counts as this.
const MaxPause = time.Hour

// ParsePause returns for how long a server asks this gateway to send it nothing: the
// Retry-After of a response with status 503, in seconds, which may have a fraction, or as
// a date. It returns 0 for other responses, and an error with code.StatementBad for a
// value that is negative or cannot be read.
func ParsePause(now time.Time, status int, h http.Header) (time.Duration, error) {
	text := h.Get("Retry-After")
	if status != http.StatusServiceUnavailable || text == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(seconds) {
		if seconds < 0 {
			return 0, code.Errorf(code.StatementBad, "parse Retry-After: got %.64q, want at least 0 seconds", text)
		}
		return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second)), nil
	}
	date, err := http.ParseTime(text)
	if err != nil {
		return 0, code.Errorf(code.StatementBad, "parse Retry-After: got %.64q, want seconds or a date", text)
	}
	return min(max(date.Sub(now), 0), MaxPause), nil
}
