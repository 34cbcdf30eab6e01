package command

import (
	"context"
	"os"
)

// StopSignals returns a context that is canceled by the first signal or when ctx ends,
// and a channel that is closed by the second signal. The goroutine that waits for the
// signals ends with ctx or after the second signal.
func StopSignals(ctx context.Context, signals <-chan os.Signal) (stop context.Context, abort <-chan struct{}) {
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
