package report_test

import (
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
)

func TestParseCounts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		in   string
		want mustardsaddle.Report
		code code.Code
	}{
		{"3,0,8", mustardsaddle.Report{InFlight: 3, Slots: 8, At: now}, code.OK},
		{"2, 1, 2, 400", mustardsaddle.Report{InFlight: 3, Slots: 2, Slowness: 4, At: now}, code.OK},
		{"2,1,2,100,9", mustardsaddle.Report{InFlight: 3, Slots: 2, Slowness: 1, At: now}, code.OK},
		{"", mustardsaddle.Report{}, code.ReportBad},
		{"1,2", mustardsaddle.Report{}, code.ReportBad},
		{"1,-2,3", mustardsaddle.Report{}, code.ReportBad},
		{"1,x,3", mustardsaddle.Report{}, code.ReportBad},
		{"1,2,99999999999999999999", mustardsaddle.Report{}, code.ReportBad},
	} {
		got, err := report.ParseCounts(now, c.in)
		if got != c.want || code.Of(err) != c.code {
			t.Errorf("ParseCounts(%q): got %+v, %v, want %+v, code %v", c.in, got, err, c.want, c.code)
		}
	}
}

func FuzzParseCounts(f *testing.F) {
	f.Add("3,0,8,100")
	f.Add(",,,")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, in string) {
		r, err := report.ParseCounts(now, in)
		if err == nil && (r.InFlight < 0 || r.Slots < 0 || r.Slowness < 0) {
			t.Errorf("ParseCounts(%q): got %+v, want no negative number", in, r)
		}
	})
}
