package store

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if the context is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// RunConcurrently runs functions concurrently and returns when all have returned.
// It is used by packages that follow changes in the store with several loops.
func RunConcurrently(ctx context.Context, tasks ...func(context.Context)) {
	done := make(chan struct{})
	for _, task := range tasks {
		go func() {
			task(ctx)
			done <- struct{}{}
		}()
	}
	for range tasks {
		<-done
	}
}
