package report_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
)

var start = time.Unix(1_700_000_000, 0)

var headers = []struct {
	name, value, err string
}{
	{"all metrics", `JSON {"named_metrics":{"InFlight":3,"Slots":2,"Draining":1}}`, ""},
	{"no prefix", `{"named_metrics":{"InFlight":3}}`, ""},
	{"unknown metric", `{"named_metrics":{"InFlight":3,"Other":-1}}`, ""},
	{"empty", ``, "unexpected end of JSON input"},
	{"binary form", `BIN aGVsbG8=`, "invalid character 'B'"},
	{"not a number", `{"named_metrics":{"InFlight":NaN}}`, "invalid character 'N'"},
	{"negative", `{"named_metrics":{"InFlight":-1}}`, "got InFlight=-1, want 0 to 1048576"},
	{"negative slots", `{"named_metrics":{"InFlight":1,"Slots":-2}}`, "got Slots=-2"},
	{"huge", `{"named_metrics":{"InFlight":1e300}}`, "got InFlight=1e+300"},
	{"out of float64 range", `{"named_metrics":{"InFlight":1e999}}`, "cannot unmarshal number 1e999"},
	{"string", `{"named_metrics":{"InFlight":"3"}}`, "cannot unmarshal string"},
	{"missing InFlight", `{"named_metrics":{"Slots":3}}`, "got no InFlight"},
	{"null", `null`, "got no InFlight"},
	{"trailing value", `{"named_metrics":{"InFlight":3}} {}`, "after top-level value"},
	{"too long", strings.Repeat(" ", 5000), "got 5000 bytes, want at most 4096"},
}

func TestParse(t *testing.T) {
	convey.Convey("Given header values", t, func() {
		for _, h := range headers {
			convey.Convey("header value: "+h.name, func() {
				_, err := report.Parse(start, h.value)
				if h.err == "" {
					convey.So(err, convey.ShouldBeNil)
					return
				}
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Error(), convey.ShouldContainSubstring, h.err)
				convey.So(code.Of(err), convey.ShouldEqual, code.ReportBad)
			})
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, h := range headers {
		f.Add(h.value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got, err := report.Parse(start, value)
		if err != nil {
			return
		}
		if got.InFlight < 0 || got.Slots < 0 || got.InFlight > 1<<20 || got.Slots > 1<<20 {
			t.Fatalf("parse %q: got %+v, want bounded counts", value, got)
		}
		again, err := report.Parse(start, report.Format(got.InFlight, got.Slots, got.Draining))
		if err != nil || again != got {
			t.Fatalf("parse formatted %+v: got %+v, %v", got, again, err)
		}
	})
}

// permittedProbe is the cost of one permitted probe.
type permittedProbe struct {
	at              time.Time
	messages, bytes int
}

// checkWindows fails if the cost in any window between two probes exceeds what
// the rate permits with a bucket of the given depth.
func checkWindows(t *rapid.T, name string, all []permittedProbe, size func(permittedProbe) int, perSecond, depth float64) {
	for i := range all {
		sum := 0
		for j := i; j < len(all); j++ {
			sum += size(all[j])
			window := all[j].at.Sub(all[i].at).Seconds()
			if limit := perSecond*window + depth; float64(sum) > limit+1e-3 {
				t.Fatalf("%s: got %d in %gs, want at most %g", name, sum, window, limit)
			}
		}
	}
}

func TestBudgetLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 100).Draw(t, "messages")
		bytesPerSecond := rapid.Float64Range(100, 40000).Draw(t, "bytes")
		b := report.NewBudget(report.BudgetConfig{
			MessagesPerSecond: perSecond, BytesPerSecond: bytesPerSecond,
			Burst: 100 * time.Millisecond,
		})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var all []permittedProbe
		now, latest := start, time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			// Arrivals come in bursts, after pauses, and with the clock set back.
			step := time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
			if rng.IntN(20) == 0 {
				step = -time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
			}
			now = now.Add(step)
			if now.After(latest) {
				latest = now
			}
			s := permittedProbe{at: latest, messages: 1 + rng.IntN(2), bytes: rng.IntN(900)}
			if b.Allow(now, s.messages, s.bytes) {
				all = append(all, s)
			}
		}
		messages := func(s permittedProbe) int { return s.messages }
		bytes := func(s permittedProbe) int { return s.bytes }
		checkWindows(t, "messages", all, messages, perSecond, max(1, perSecond/10))
		checkWindows(t, "bytes", all, bytes, bytesPerSecond, max(report.ProbeBytes, bytesPerSecond/10))
		var sum report.Cost
		for _, s := range all {
			sum.Messages += int64(s.messages)
			sum.Bytes += int64(s.bytes)
		}
		if got := b.Stats().Used; got != sum {
			t.Fatalf("used: got %+v, want %+v", got, sum)
		}
	})
}

func TestBudgetRefusal(t *testing.T) {
	convey.Convey("Given a budget whose byte bucket is empty", t, func() {
		b := report.NewBudget(report.BudgetConfig{MessagesPerSecond: 10, BytesPerSecond: 400})
		convey.So(b.Allow(start, 1, 400), convey.ShouldBeTrue)
		convey.So(b.Allow(start, 1, 400), convey.ShouldBeFalse)
		convey.Convey("a refused probe consumes nothing, and the bucket refills over time", func() {
			convey.So(b.Allow(start.Add(time.Second), 1, 400), convey.ShouldBeTrue)
			convey.So(b.Stats(), convey.ShouldResemble, report.Stats{
				Used: report.Cost{Messages: 2, Bytes: 800}, Refused: 1,
				MessagesPerSecond: 10, BytesPerSecond: 400,
			})
		})
	})
	convey.Convey("Given a budget with zero rates, no probe is permitted", t, func() {
		convey.So(report.NewBudget(report.BudgetConfig{}).Allow(start, 1, 1), convey.ShouldBeFalse)
	})
}
