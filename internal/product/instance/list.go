package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/event"
)

// followList reads the platform's list of VMs until the context ends, then
// closes done. A list that cannot be read changes nothing.
func (in *instance) followList(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		in.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(in.rng.Float64(), in.cfg.Settings.Platform.Poll)):
		}
	}
}

func (in *instance) readList(ctx context.Context) {
	list, err := in.store.Machines(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Int("Code", int(code.Of(err))).Err(err).Send()
		return
	}
	in.spreadMarks("", in.membership.machines(time.Now(), list))
}

// jitter returns a time between a half and one and a half of the mean; random
// is in [0, 1).
func jitter(random float64, mean time.Duration) time.Duration {
	return time.Duration((0.5 + random) * float64(mean))
}
