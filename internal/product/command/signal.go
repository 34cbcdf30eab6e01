package command

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// followStops calls stop at the first signal, and logs each further one: a stop that has begun goes
// on as it is. It ends with the context, and then closes done.
func followStops(ctx context.Context, signals <-chan os.Signal, stop func(), logger zerolog.Logger, done chan<- struct{}) {
	defer close(done)
	for stopping := false; ; stopping = true {
		select {
		case s := <-signals:
			if stopping {
				event.Info(logger, event.StopRepeated).Stringer("Signal", s).Send()
			}
			stop()
		case <-ctx.Done():
			return
		}
	}
}
