package store

import (
	"context"
	"io"
	"time"
)

// maxBodyTimeouts bounds the time for the body of a response, in multiples of Config.Timeout.
const maxBodyTimeouts = 6

// callTimer ends a call whose response does not come, or stands still.
type callTimer struct {
	timer *time.Timer
	// timeout is how long a body may stand still.
	timeout time.Duration
}

// startCallTimer returns the context of a call, which ends after the first duration. The call has
// to call end.
func startCallTimer(ctx context.Context, first, timeout time.Duration) (limited context.Context, t *callTimer, end func()) {
	limited, cancel := context.WithCancelCause(ctx)
	t = &callTimer{timeout: timeout, timer: time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })}
	return limited, t, func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// body returns a reader of the body of a response whose header has arrived at now. The call goes
// on while the body arrives.
func (t *callTimer) body(now time.Time, body io.Reader) io.Reader {
	until := now.Add(maxBodyTimeouts * t.timeout)
	t.timer.Reset(bodyWait(now, t.timeout, until))
	return &progressReader{body: body, callTimer: t, until: until}
}

// bodyWait returns how long the next bytes of a body may take that has to be complete at until.
func bodyWait(now time.Time, timeout time.Duration, until time.Time) time.Duration {
	return max(min(timeout, until.Sub(now)), 0)
}

// progressReader reads a body, and postpones the end of its call with each part that arrives.
type progressReader struct {
	*callTimer
	body io.Reader
	// until is when the body has to be complete.
	until time.Time
}

// Read reads from the body.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.timer.Reset(bodyWait(time.Now(), r.timeout, r.until))
	}
	return n, err
}
