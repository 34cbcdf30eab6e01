package trial_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/standin/trial"
)

func TestCompare(t *testing.T) {
	convey.Convey("Given a short comparison of two candidates at low load", t, func() {
		progressCalls := 0
		report, err := trial.Compare(context.Background(), trial.CompareConfig{
			Scenarios: []string{"steady50", "Drain"}, Candidates: []string{"CentralQueue", "PreferredSpill+Next"},
			Duration: 900 * time.Millisecond, Repetitions: 1, Parallel: 2,
			// Long enough that no call times out, however busy the machine is.
			Timeout:  2 * time.Minute,
			Progress: func(trial.Run) { progressCalls++ },
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(progressCalls, convey.ShouldEqual, 4)
		convey.So(report.Rows, convey.ShouldHaveLength, 4)
		for _, row := range report.Rows {
			convey.So(row.Median.Goodput, convey.ShouldBeGreaterThan, 0)
			convey.So(row.Median.Unknown, convey.ShouldEqual, 0)
		}
		convey.So(report.Text(), convey.ShouldContainSubstring, "Steady50")
		_, err = json.Marshal(report)
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("An unknown name is an error that lists the known names", t, func() {
		_, err := trial.Compare(context.Background(), trial.CompareConfig{Scenarios: []string{"Calm"}})
		convey.So(code.Of(err), convey.ShouldEqual, code.SettingsBadValue)
		convey.So(err.Error(), convey.ShouldContainSubstring, `compare: got scenario "Calm", want one of Steady50, `)
		_, err = trial.Compare(context.Background(), trial.CompareConfig{Candidates: []string{"Best"}})
		convey.So(err.Error(), convey.ShouldContainSubstring, `got candidate "Best", want one of CentralQueue, `)
	})
	convey.Convey("With a canceled context, the report is partial", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		report, err := trial.Compare(ctx, trial.CompareConfig{Scenarios: []string{"Steady50"}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(report.Runs, convey.ShouldBeEmpty)
		convey.So(report.Planned, convey.ShouldBeGreaterThan, 0)
	})
}

// A graceful stop must cut no call, no attempt may run twice, and a rule change must reach
// every gateway soon.
func TestRunSmallSystem(t *testing.T) {
	convey.Convey("Given a small system with a rule change and a graceful stop under load", t, func() {
		report, err := trial.RunSmallSystem(context.Background(), trial.SmallSystemConfig{Duration: 2 * time.Second})
		convey.So(err, convey.ShouldBeNil)
		convey.So(report.Load.All.Calls, convey.ShouldBeGreaterThan, 0)
		convey.So(report.Cut, convey.ShouldEqual, 0)
		convey.So(report.Repeated, convey.ShouldEqual, 0)
		convey.So(report.InForce, convey.ShouldBeLessThan, 5*time.Second)
		convey.So(report.Text(), convey.ShouldContainSubstring, "Calls cut: 0.")
	})
}
