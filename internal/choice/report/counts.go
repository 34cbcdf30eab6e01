package report

import (
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// minFields is the number of fields that a report must have, and maxFields the
	// number of fields that are read.
	minFields = 3
	maxFields = 4
	// nominalPercent is the slowness, in percent, of a VM that runs at its usual
	// speed.
	nominalPercent = 100
)

// ParseCounts parses a load report in the form of counts, received at now. Its
// comma-separated fields are the running requests, the queued requests, the slots
// and, optionally, the processing time on the server's VM in percent of the usual.
// Further fields are ignored. A report with a value out of range is rejected as a
// whole.
func ParseCounts(now time.Time, value string) (mustardsaddle.Report, error) {
	fields := strings.Split(value, ",")
	if len(fields) < minFields {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %d counts, want at least %d", len(fields), minFields)
	}
	var n [maxFields]int
	for i, field := range fields[:min(len(fields), maxFields)] {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || count < 0 || count > maxRequests {
			return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got count %q, want 0 to %d", field, maxRequests)
		}
		n[i] = count
	}
	return mustardsaddle.Report{
		InFlight: n[0] + n[1], Slots: n[2], Slowness: float64(n[3]) / nominalPercent, At: now,
	}, nil
}
