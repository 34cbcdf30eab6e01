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

// blockingWriter is a writer that signals the start of each write on started, and
// blocks it until unblock is closed.
type blockingWriter struct {
	started chan struct{}
	unblock chan struct{}
	bytes.Buffer
}

// Write blocks until unblock is closed.
func (w *blockingWriter) Write(p []byte) (int, error) {
	w.started <- struct{}{}
	<-w.unblock
	return w.Buffer.Write(p)
}

func TestWriter(t *testing.T) {
	convey.Convey("Given a blocked log output", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		out := &blockingWriter{started: make(chan struct{}, 9), unblock: make(chan struct{})}
		w := event.NewWriter(ctx, event.WriterConfig{Out: out, BufferBytes: 40, Gateway: "g"})
		_, _ = fmt.Fprintln(w, "line 0")
		<-out.started
		convey.Convey("Writes do not block, and lines that exceed the buffer are counted", func() {
			for i := 1; i <= 8; i++ {
				n, err := fmt.Fprintln(w, "line", i)
				convey.So(n, convey.ShouldEqual, 7)
				convey.So(err, convey.ShouldBeNil)
			}
			close(out.unblock)
			cancel()
			<-w.Done()
			convey.So(out.String(), convey.ShouldStartWith, "line 0\nline 1\nline 2\nline 3\nline 4\nline 5\n{")
			convey.So(out.String(), convey.ShouldContainSubstring, `"Name":"LinesLost","Lines":3`)
		})
	})
	convey.Convey("All buffered lines are flushed when the context ends", t, func() {
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

// BenchmarkWriter compares synchronous logging with logging through a Writer, both
// to the null device.
func BenchmarkWriter(b *testing.B) {
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
