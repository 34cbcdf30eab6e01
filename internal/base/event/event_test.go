package event_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

func TestLines(t *testing.T) {
	convey.Convey("Given a logger at level warn", t, func() {
		var out bytes.Buffer
		logger := event.NewLogger(&out, "warn", "gateway-1")
		convey.Convey("A line at level info is suppressed", func() {
			event.Info(logger, event.Started).Str("Listen", "127.0.0.1:1").Send()
			convey.So(out.Len(), convey.ShouldEqual, 0)
		})
		convey.Convey("A line at level warn is one JSON object with the common fields", func() {
			event.Warn(logger, event.StoreFailed).Str("Key", "Rules/Accepted").Send()
			var line struct {
				Time                 time.Time
				Level, Name, Gateway string
				Event                int
				Key                  string
			}
			convey.So(json.Unmarshal(out.Bytes(), &line), convey.ShouldBeNil)
			convey.So(line.Time.IsZero(), convey.ShouldBeFalse)
			convey.So(line.Level, convey.ShouldEqual, "Warn")
			convey.So(line.Event, convey.ShouldEqual, int(event.StoreFailed))
			convey.So(line.Name, convey.ShouldEqual, "StoreFailed")
			convey.So(line.Gateway, convey.ShouldEqual, "gateway-1")
			convey.So(line.Key, convey.ShouldEqual, "Rules/Accepted")
			convey.So(bytes.Count(out.Bytes(), []byte("\n")), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("A line at level error has the text of the error", t, func() {
		var out bytes.Buffer
		event.Error(event.NewLogger(&out, "info", "g"), event.StoreFailed).Err(errors.New("refused")).Send()
		convey.So(out.String(), convey.ShouldContainSubstring, `"Error":"refused"`)
	})
}

// BenchmarkLogLine measures the logging of one RouteChosen line with a typical
// number of fields.
func BenchmarkLogLine(b *testing.B) {
	logger := event.NewLogger(io.Discard, "info", "gateway-1")
	b.ReportAllocs()
	for b.Loop() {
		event.Info(logger, event.RouteChosen).Str("Attempt", "gateway-1-1-1").Str("Service", "Booking").
			Str("Server", "booking-01").Str("Reason", "Preferred").Int("Candidates", 20).Send()
	}
}
