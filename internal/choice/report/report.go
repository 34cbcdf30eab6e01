// Package report reads the load reports of endpoint servers and keeps the cost
// of asking for them inside an agreed budget.
//
// # Usage
//
//	rep, err := report.Parse(now, resp.Header.Get(report.Header))
package report

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// Header is the response header that carries a load report, in the JSON text
// form of the Open Request Cost Aggregation (ORCA) format.
const Header = "Endpoint-Load-Metrics"

// maxHeaderBytes bounds the report that is parsed.
const maxHeaderBytes = 4096

// textPrefix marks the JSON form of an ORCA header.
const textPrefix = "JSON "

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

// Parse reads a header value that arrived at now.
func Parse(now time.Time, value string) (mustardsaddle.Report, error) {
	if len(value) > maxHeaderBytes {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %d bytes, want at most %d", len(value), maxHeaderBytes)
	}
	var m metrics
	if err := json.Unmarshal([]byte(strings.TrimPrefix(value, textPrefix)), &m); err != nil {
		return mustardsaddle.Report{}, code.Wrapf(code.ReportBad, err, "parse load report")
	}
	inFlight, ok := m.Named["InFlight"]
	if !ok || inFlight < 0 || m.Named["Slots"] < 0 {
		return mustardsaddle.Report{}, code.Errorf(code.ReportBad, "parse load report: got %q, want InFlight and Slots of at least 0", value)
	}
	return mustardsaddle.Report{
		InFlight: int(inFlight),
		Slots:    int(m.Named["Slots"]),
		Draining: m.Named["Draining"] > 0,
		At:       now,
	}, nil
}
