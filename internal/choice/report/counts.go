package report

import (
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// minCounts and maxCounts bound the fields of a report in counts that are read.
	minCounts = 3
	maxCounts = 4
	// usualSlowness is the slowness in percent of a VM that works as usual.
	usualSlowness = 100
)

// ParseCounts reads a report in counts that arrived at now: the requests running,
// those waiting and the slots, separated by commas, and then, if stated, how long
// work takes on the server's VM in percent of the usual. Further fields are passed
// over. A report that breaks a bound is refused whole.
func ParseCounts(now time.Time, value string) (mustardsaddle.Report, error) {
	fields := strings.Split(value, ",")
	if len(fields) < minCounts {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %d counts, want at least %d", len(fields), minCounts)
	}
	var n [maxCounts]int
	for i, field := range fields[:min(len(fields), maxCounts)] {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || count < 0 || count > maxRequests {
			return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got count %q, want 0 to %d", field, maxRequests)
		}
		n[i] = count
	}
	return mustardsaddle.Report{
		InFlight: n[0] + n[1], Slots: n[2], Slowness: float64(n[3]) / usualSlowness, At: now,
	}, nil
}
