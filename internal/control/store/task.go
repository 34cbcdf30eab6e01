package store

import (
	"context"
	"time"
)

// Sleep waits, and returns false when the context has ended.
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

// RunAll runs the parts of a follower of the store side by side, and returns when all
// have ended.
func RunAll(ctx context.Context, parts ...func(context.Context)) {
	ended := make(chan struct{})
	for _, part := range parts {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	for range parts {
		<-ended
	}
}
