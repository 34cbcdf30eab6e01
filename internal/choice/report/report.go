// Package report reads the load reports of endpoint servers and keeps the cost
// of asking for them inside an agreed budget.
//
// A report travels in the Endpoint-Load-Metrics response header, in the JSON
// text form of the Open Request Cost Aggregation (ORCA) format, on ordinary
// answers and on the answers of a small probe address. Ordinary answers cost
// nothing extra; probes are paid from a Budget.
//
// # Usage
//
//	rep, err := report.Parse(now, resp.Header.Get(report.Header))
//
//	budget := report.NewBudget(report.BudgetConfig{MessagesPerSecond: 20, BytesPerSecond: 8192})
//	if budget.Take(now, 1, report.ProbeBytes) {
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

// Header is the response header that carries a load report, in the JSON text
// form of the Open Request Cost Aggregation (ORCA) format.
const Header = "Endpoint-Load-Metrics"

// maxHeaderBytes bounds the report that is parsed.
const maxHeaderBytes = 4096

// maxRequests bounds the requests and the slots that a report may state.
const maxRequests = 1 << 20

// textPrefix marks the JSON form of an ORCA header.
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

// Format renders a load report as a header value.
func Format(inFlight, slots int, draining bool) string {
	drain := 0
	if draining {
		drain = 1
	}
	return fmt.Sprintf(`JSON {"named_metrics":{"InFlight":%d,"Slots":%d,"Draining":%d}}`, inFlight, slots, drain)
}

// Parse reads a header value that arrived at now. A report that breaks any
// bound is refused whole, so that the last good report of the server stays in
// use.
func Parse(now time.Time, value string) (mustardsaddle.Report, error) {
	if len(value) > maxHeaderBytes {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %d bytes, want at most %d", len(value), maxHeaderBytes)
	}
	var m metrics
	if err := json.Unmarshal([]byte(strings.TrimPrefix(value, textPrefix)), &m); err != nil {
		return mustardsaddle.Report{}, code.Wrapf(code.ReportBad, err, "parse load report")
	}
	if _, ok := m.Named[metricInFlight]; !ok {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got no %s, want one", metricInFlight)
	}
	for _, name := range []string{metricInFlight, metricSlots, metricDraining} {
		if n := m.Named[name]; math.IsNaN(n) || n < 0 || n > maxRequests {
			return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %s=%g, want 0 to %d", name, n, maxRequests)
		}
	}
	return mustardsaddle.Report{
		InFlight: int(math.Ceil(m.Named[metricInFlight])),
		Slots:    int(m.Named[metricSlots]),
		Draining: m.Named[metricDraining] > 0,
		At:       now,
	}, nil
}
