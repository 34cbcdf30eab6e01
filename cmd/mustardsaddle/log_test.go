package main_test

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// startWithUnreadOutput starts a gateway whose standard output is a pipe that
// is not read, and returns the read end.
func (s *system) startWithUnreadOutput(g *gateway) *os.File {
	r, w, err := os.Pipe()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = r.Close() })
	p := newProcess(s.t, "mustardsaddle", "serve", "--settings", g.settings)
	p.cmd.Stdout = w
	p.start()
	_ = w.Close()
	g.process = p
	return r
}

// A gateway must not block on a log reader that has stopped reading. Each call
// logs two lines of about 300 bytes; a pipe buffers 64 KiB and the gateway 1
// MiB of lines, so both buffers are full after a few thousand calls.
func TestBlockedLogOutput(t *testing.T) {
	const calls = 3000
	convey.Convey("Given a gateway whose standard output is not read", t, func() {
		s := newSystem(t, 3, 0)
		g := s.addGateway(0)
		out := s.startWithUnreadOutput(g)
		s.waitFor("the gateway to serve calls", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
		tr := newTraffic(16, targets(g))
		defer tr.stop()
		convey.Convey("Calls succeed when the buffers of the pipe and the gateway are full", func() {
			s.waitFor("calls", func() bool { return tr.calls.Load() > calls })
			tr.stop()
			convey.So(tr.failures(), convey.ShouldBeEmpty)
			convey.Convey("A reader that resumes gets complete lines and the number of lost ones", func() {
				lost := make(chan float64, 1)
				go countLostLines(out, lost)
				g.signal(syscall.SIGTERM)
				convey.So(g.waitExit(waitTimeout), convey.ShouldBeNil)
				convey.So(<-lost, convey.ShouldBeGreaterThan, 0)
			})
		})
		convey.Convey("The gateway still stops gracefully", func() {
			s.waitFor("calls", func() bool { return tr.calls.Load() > calls })
			tr.stop()
			g.signal(syscall.SIGTERM)
			convey.So(g.waitExit(waitTimeout), convey.ShouldBeNil)
		})
	})
}

// countLostLines reads log lines until EOF, and sends the total number of lines
// that the gateway reports as lost, or -1 if a line is not valid JSON.
func countLostLines(r io.Reader, lost chan<- float64) {
	n := 0.0
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			lost <- -1
			return
		}
		if count, ok := line["Lines"].(float64); ok && line["Name"] == "LinesLost" {
			n += count
		}
	}
	lost <- n
}
