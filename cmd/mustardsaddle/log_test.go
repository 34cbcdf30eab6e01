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

// startUnread starts the gateway with a standard output that nobody reads.
func (s *system) startUnread(g *instance) *os.File {
	r, w, err := os.Pipe()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = r.Close() })
	p := newProcess(s.t, "mustardsaddle", "serve", "--settings", g.settings)
	p.cmd.Stdout = w
	p.launch()
	_ = w.Close()
	g.process = p
	return r
}

// A call writes two lines of about 300 bytes, a pipe holds 64 KiB and the gateway
// 1 MiB of lines: after a few thousand calls both are full.
func TestStuckLogReader(t *testing.T) {
	const calls = 3000
	convey.Convey("Given a gateway whose standard output nobody reads", t, func() {
		s := newSystem(t, 3, 0)
		g := s.addGateway(0)
		out := s.startUnread(g)
		s.wait("the gateway to answer", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
		f := newTraffic(16, targets(g))
		defer f.stop()
		convey.Convey("Calls go on when neither the pipe nor the gateway holds more lines", func() {
			s.wait("calls", func() bool { return f.calls.Load() > calls })
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
			convey.Convey("A reader that comes back finds whole lines and the number of those lost", func() {
				lost := make(chan float64, 1)
				go readLines(out, lost)
				g.signal(syscall.SIGTERM)
				convey.So(g.waitEnd(patience), convey.ShouldBeNil)
				convey.So(<-lost, convey.ShouldBeGreaterThan, 0)
			})
		})
		convey.Convey("A stop ends all the same", func() {
			s.wait("calls", func() bool { return f.calls.Load() > calls })
			f.stop()
			g.signal(syscall.SIGTERM)
			convey.So(g.waitEnd(patience), convey.ShouldBeNil)
		})
	})
}

// readLines reads log lines to their end, and sends the number of lines that were
// lost, or -1 if a line is not whole.
func readLines(r io.Reader, lost chan<- float64) {
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
