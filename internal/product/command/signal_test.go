package command_test

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
)

func TestStopSignals(t *testing.T) {
	convey.Convey("Given a process that waits for signals", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		signals := make(chan os.Signal, 2)
		stop, abort := command.StopSignals(ctx, signals)
		convey.So(stop.Err(), convey.ShouldBeNil)
		convey.Convey("The first signal stops it, and the second one aborts it", func() {
			signals <- syscall.SIGTERM
			<-stop.Done()
			select {
			case <-abort:
				t.Error("got abort closed after the first signal, want it open")
			default:
			}
			signals <- os.Interrupt
			<-abort
		})
		convey.Convey("Canceling the parent context stops it", func() {
			cancel()
			<-stop.Done()
		})
	})
}
