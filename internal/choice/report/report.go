// Package report parses the load reports of endpoint servers and limits the cost of
// requesting them to a budget.
//
// A report is carried in the Endpoint-Load-Metrics response header, in the JSON
// text form of the Open Request Cost Aggregation (ORCA) format. Ordinary responses
// carry one at no extra cost. So do the small responses to probes and load queries,
// which are charged to a Budget.
//
// # Usage
//
//	rep, err := report.Parse(now, resp.Header.Get(report.Header))
//
//	budget := report.NewBudget(report.BudgetConfig{MessagesPerSecond: 20, BytesPerSecond: 8192})
//	if budget.Allow(now, 1, report.ProbeBytes) {
//		// send one probe
//	}
package report

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Header is the response header that carries a load report, in the JSON text form
// of the Open Request Cost Aggregation (ORCA) format.
const Header = "Endpoint-Load-Metrics"

// maxHeaderBytes is the maximum size of a report that is parsed.
const maxHeaderBytes = 4096

// maxRequests is the maximum number of requests or slots in a report.
const maxRequests = 1 << 20

// textPrefix precedes the JSON form of an ORCA header.
const textPrefix = "JSON "

// Named metrics of a report.
const (
	metricInFlight = "InFlight"
	metricSlots    = "Slots"
	metricDraining = "Draining"
)

type metrics struct {
	Named map[string]float64 `json:"named_metrics"`
}

// Format encodes a load report as a header value.
func Format(inFlight, slots int, draining bool) string {
	drainingValue := 0
	if draining {
		drainingValue = 1
	}
	return fmt.Sprintf(`JSON {"named_metrics":{"InFlight":%d,"Slots":%d,"Draining":%d}}`, inFlight, slots, drainingValue)
}

// Parse parses a header value received at now. A report with a value out of range
// is rejected as a whole, so that the last valid report of the server stays in use.
func Parse(now time.Time, value string) (mustardsaddle.Report, error) {
	if len(value) > maxHeaderBytes {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %d bytes, want at most %d", len(value), maxHeaderBytes)
	}
	var parsed metrics
	if err := json.Unmarshal([]byte(strings.TrimPrefix(value, textPrefix)), &parsed); err != nil {
		return mustardsaddle.Report{}, code.Wrapf(code.ReportBad, err, "parse load report")
	}
	if _, ok := parsed.Named[metricInFlight]; !ok {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got no %s, want one", metricInFlight)
	}
	for _, name := range []string{metricInFlight, metricSlots, metricDraining} {
		if n := parsed.Named[name]; math.IsNaN(n) || n < 0 || n > maxRequests {
			return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %s=%g, want 0 to %d", name, n, maxRequests)
		}
	}
	return mustardsaddle.Report{
		InFlight: int(math.Ceil(parsed.Named[metricInFlight])),
		Slots:    int(parsed.Named[metricSlots]),
		Draining: parsed.Named[metricDraining] > 0,
		At:       now,
	}, nil
}
