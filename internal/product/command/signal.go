package command

import (
	"context"
	"os"
)

// Stops turns signals into the two ways to end: the returned context ends with
// the first signal or with ctx, and abort is closed by the second signal. The
// goroutine that waits for them ends with ctx or after the second one.
func Stops(ctx context.Context, signals <-chan os.Signal) (stop context.Context, abort <-chan struct{}) {
	stop, cancel := context.WithCancel(ctx)
	aborted := make(chan struct{})
	go func() {
		defer cancel()
		for _, end := range []func(){cancel, func() { close(aborted) }} {
			select {
			case <-signals:
				end()
			case <-ctx.Done():
				return
			}
		}
	}()
	return stop, aborted
}
