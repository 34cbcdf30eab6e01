package admission

import (
	"context"
	"errors"
	"net/http/httptrace"
	"syscall"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// dialTrace records whether a request got a connection, and whether it was a new one.
type dialTrace struct {
	got, reused bool
}

// trace returns a context in which the transport records the connection.
func (d *dialTrace) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { d.got, d.reused = true, info.Reused },
	})
}

// record records whether a new connection could be opened for a request.
func (d *dialTrace) record(c *Controller, now time.Time, f reach.Failure) {
	if d.reused {
		return
	}
	c.RecordDial(now, d.got, f)
}

// failure describes a request that returned nothing.
func (d *dialTrace) failure(server string, err error, sentAt time.Time, timeout time.Duration) reach.Failure {
	return reach.Failure{
		Server: server, Cause: FailureCause(err), Accepted: d.got && !d.reused, NewConnection: !d.reused,
		SentAt: sentAt, Timeout: timeout,
	}
}

// FailureCause returns the cause of the error of a round trip.
func FailureCause(err error) reach.Cause {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.As(err, &timeout) && timeout.Timeout():
		return reach.Unanswered
	default:
		return reach.Reset
	}
}
