package event_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// gate is a writer that tells when a write begins, and holds it until opened.
type gate struct {
	begun chan struct{}
	open  chan struct{}
	bytes.Buffer
}

// Write waits until the gate is open.
func (g *gate) Write(p []byte) (int, error) {
	g.begun <- struct{}{}
	<-g.open
	return g.Buffer.Write(p)
}

func TestWriter(t *testing.T) {
	convey.Convey("Given a log whose reader has stopped reading", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		out := &gate{begun: make(chan struct{}, 9), open: make(chan struct{})}
		w := event.NewWriter(ctx, event.WriterConfig{Out: out, Bytes: 40, Gateway: "g"})
		_, _ = fmt.Fprintln(w, "line 0")
		<-out.begun
		convey.Convey("Writing goes on at once, and lines that don't fit are counted", func() {
			for i := 1; i <= 8; i++ {
				n, err := fmt.Fprintln(w, "line", i)
				convey.So(n, convey.ShouldEqual, 7)
				convey.So(err, convey.ShouldBeNil)
			}
			close(out.open)
			cancel()
			<-w.Done()
			convey.So(out.String(), convey.ShouldStartWith, "line 0\nline 1\nline 2\nline 3\nline 4\nline 5\n{")
			convey.So(out.String(), convey.ShouldContainSubstring, `"Name":"LinesLost","Lines":3`)
		})
	})
	convey.Convey("At the end every line that waits is passed on", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var out bytes.Buffer
		w := event.NewWriter(ctx, event.WriterConfig{Out: &out})
		for range 1000 {
			_, _ = fmt.Fprintln(w, "line")
		}
		cancel()
		<-w.Done()
		convey.So(bytes.Count(out.Bytes(), []byte("line\n")), convey.ShouldEqual, 1000)
	})
}

// BenchmarkOutput compares a line written at once with one that waits its turn,
// each to a device that takes everything.
func BenchmarkOutput(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = null.Close() }()
	b.Run("AtOnce", func(b *testing.B) {
		logger := event.NewLogger(null, "info", "gateway-1")
		for b.Loop() {
			event.Info(logger, event.RouteChosen).Str("Server", "booking-01").Send()
		}
	})
	b.Run("Writer", func(b *testing.B) {
		logger := event.NewLogger(event.NewWriter(b.Context(), event.WriterConfig{Out: null}), "info", "gateway-1")
		for b.Loop() {
			event.Info(logger, event.RouteChosen).Str("Server", "booking-01").Send()
		}
	})
}
