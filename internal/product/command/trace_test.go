package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
)

const logText = `{"Gateway":"g1","Event":2001,"Name":"RulesInForce","Generation":4}
{"Gateway":"g1","Event":2001,"Name":"RulesInForce","Generation":7}
12.5 g1 {"Gateway":"g1","Event":4001,"Name":"RouteChosen","Request":"r-1","Attempt":"g1-a"}
{"Gateway":"g1","Event":4001,"Name":"RouteChosen","Request":"r-2","Attempt":"g1-b"}
not a log line
{"Gateway":"g1","Event":4006,"Name":"ConnectionSilent","Attempt":"g1-a"}
{"Gateway":"g2","Event":4002,"Name":"CallRefused","Request":"r-1"}
`

func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(path, []byte(logText), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(in string, args ...string) (command.Status, string, string) {
		var out, err bytes.Buffer
		status := command.Run(context.Background(), command.Config{In: strings.NewReader(in), Out: &out, Err: &err}, append([]string{"trace"}, args...))
		return status, out.String(), err.String()
	}
	lines := strings.SplitAfter(logText, "\n")
	convey.Convey("Given the logs of two gateways", t, func() {
		convey.Convey("The lines of a request are printed after the rules that were in force", func() {
			status, out, err := run("", "r-1", path)
			convey.So(status, convey.ShouldEqual, command.Done)
			convey.So(out, convey.ShouldEqual, lines[1]+lines[2]+lines[5]+lines[6])
			convey.So(err, convey.ShouldContainSubstring, "skipped 1 line(s) that are not log lines")
		})
		convey.Convey("Standard input is read if no file is named, and the id of an attempt can be given", func() {
			status, out, _ := run(logText, "g1-b")
			convey.So(status, convey.ShouldEqual, command.Done)
			convey.So(out, convey.ShouldEqual, lines[1]+lines[3])
		})
		convey.Convey("The lines of another gateway that got the call follow, also without an id of the request", func() {
			const forwarded = `{"Gateway":"g1","Event":4001,"Name":"RouteChosen","Attempt":"g1-a","Through":"g2"}
{"Gateway":"g2","Event":4001,"Name":"RouteChosen","Attempt":"g2-a","From":"g1","FromAttempt":"g1-a"}
{"Gateway":"g2","Event":4003,"Name":"CallEnded","Attempt":"g2-a"}
`
			status, out, _ := run(forwarded+"{\"Gateway\":\"g2\",\"Event\":4003,\"Attempt\":\"g2-b\"}\n", "g1-a")
			convey.So(status, convey.ShouldEqual, command.Done)
			convey.So(out, convey.ShouldEqual, forwarded)
		})
		convey.Convey("A refusal because of what servers state is printed after their latest statements", func() {
			statement := func(gateway, server, more string) string {
				return `{"Gateway":"` + gateway + `","Event":4009,"Service":"Booking","Server":"` + server + `",` + more + "}\n"
			}
			older, newer := statement("g1", "booking-01", `"PerSecond":1`), statement("g1", "booking-01", `"PerSecond":2`)
			pause := `{"Gateway":"g1","Event":4011,"Service":"Booking","Server":"booking-02"}` + "\n"
			refused := `{"Gateway":"g1","Event":4002,"Request":"r-9","Service":"Booking","Code":4014}` + "\n"
			status, out, _ := run(older+newer+pause+statement("g2", "booking-03", `"PerSecond":3`)+refused, "r-9")
			convey.So(status, convey.ShouldEqual, command.Done)
			convey.So(out, convey.ShouldEqual, newer+pause+refused)
		})
		convey.Convey("A refusal of a quarantined request is printed after the lines about that request", func() {
			suspected := `{"Gateway":"g2","Event":4015,"Digest":"ab","Servers":["booking-01"]}` + "\n"
			other := `{"Gateway":"g2","Event":4015,"Digest":"cd","Servers":["booking-01"]}` + "\n"
			quarantined := `{"Gateway":"g1","Event":4016,"Digest":"ab","Servers":["booking-01","booking-02"]}` + "\n"
			refused := `{"Gateway":"g1","Event":4002,"Request":"r-9","Code":4016,"Digest":"ab"}` + "\n"
			status, out, _ := run(suspected+other+quarantined+refused, "r-9")
			convey.So(status, convey.ShouldEqual, command.Done)
			convey.So(out, convey.ShouldEqual, suspected+quarantined+refused)
		})
		convey.Convey("An unknown request, a missing file and missing arguments give an error status", func() {
			status, _, err := run("", "r-3", path)
			convey.So(status, convey.ShouldEqual, command.NoMatch)
			convey.So(err, convey.ShouldContainSubstring, "r-3")
			status, _, _ = run("", "r-1", path+".old")
			convey.So(status, convey.ShouldEqual, command.Failed)
			status, _, _ = run("")
			convey.So(status, convey.ShouldEqual, command.Usage)
		})
	})
}
