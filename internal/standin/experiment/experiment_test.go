package experiment_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/experiment"
	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

// testConfig returns a comparison of two policies in two short patterns.
func testConfig(parallel int) experiment.Config {
	patterns := model.Patterns()[:2]
	for i := range patterns {
		patterns[i].Duration = 4 * time.Second
	}
	return experiment.Config{Patterns: patterns, Policies: model.Policies()[:2], FirstSeed: 3, Seeds: 2, Parallel: parallel}
}

func TestComparison(t *testing.T) {
	convey.Convey("Given a comparison of two policies in two patterns", t, func() {
		report, err := experiment.Run(context.Background(), testConfig(1))
		convey.So(err, convey.ShouldBeNil)
		convey.So(report.Rows, convey.ShouldHaveLength, 4)
		convey.Convey("The report does not depend on the number of concurrent runs", func() {
			other, err := experiment.Run(context.Background(), testConfig(4))
			convey.So(err, convey.ShouldBeNil)
			convey.So(other, convey.ShouldResemble, report)
		})
		convey.Convey("The table has a line for each combination", func() {
			text := report.Text()
			convey.So(text, convey.ShouldContainSubstring, "Seeds 3 to 4")
			convey.So(strings.Count(text, "\n"), convey.ShouldEqual, 7)
		})
		convey.Convey("The legend of a plot lists the policies", func() {
			var b bytes.Buffer
			convey.So(report.Plot(&b, "Calm"), convey.ShouldBeNil)
			convey.So(b.String(), convey.ShouldContainSubstring, "<svg")
			convey.So(b.String(), convey.ShouldContainSubstring, "Survey4")
		})
		convey.Convey("Plotting a pattern that is not in the report fails", func() {
			convey.So(report.Plot(&bytes.Buffer{}, "Surge"), convey.ShouldNotBeNil)
		})
	})
	convey.Convey("A comparison with a canceled context returns the error of the context", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := experiment.Run(ctx, testConfig(1))
		convey.So(err, convey.ShouldEqual, context.Canceled)
	})
}
